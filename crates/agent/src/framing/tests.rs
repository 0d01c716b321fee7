use super::*;

fn read(text: &str, step: usize) -> RequestTracker {
    let mut requests = RequestTracker::default();
    text.as_bytes().chunks(step).for_each(|chunk| requests.feed(chunk));
    requests
}

fn framings(text: &str) -> Vec<(u32, u32)> {
    let mut requests = read(text, 3);
    std::iter::from_fn(|| requests.next_framing()).map(|f| (f.lengths, f.encodings)).collect()
}

#[test]
fn framings_are_found_however_the_bytes_come() {
    let text = "\r\nPOST /x: HTTP/1.1\r\nTRANSFER-encoding: chunked\r\nContent-Length:4\r\nX: content-length: 4\r\nContent-Length-Not: 1\r\n\r\nbody\r\nContent-Length: 9\r\n\r\n";
    for step in [1, 2, 7, text.len()] {
        let mut requests = read(text, step);
        let framing = requests.next_framing().unwrap();
        assert_eq!((framing.lengths, framing.encodings), (1, 1), "{step}");
        assert!(!framing.is_clear());
        assert_eq!(requests.next_framing(), None, "nobody knows where the next one begins");
    }
    assert_eq!(framings("GET / HTTP/1.1\nContent-Length: 1\n\n"), [(1, 0)]);
    assert_eq!(framings("GET / HTTP/1.1\r\nContent-Length: 1\r\nX:"), []);
    assert_eq!(framings("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n"), [(2, 0)]);
}

/// Requests that follow one another at once are told apart, whatever their bodies look like.
#[test]
fn requests_are_told_apart_by_their_framing() {
    let hidden = "GET /h HTTP/1.1\r\nContent-Length: 3\r\n\r\n";
    let all = format!(
            "POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n{hidden}GET /b HTTP/1.1\r\nHost: x\r\n\r\nPOST /c HTTP/1.1\r\n\
             Transfer-Encoding: chunked\r\n\r\n{:x};name=\"v\"\r\n{hidden}\r\n0\r\nTrailer: x\r\nContent-Length: 9\r\n\r\n\
             \r\nPOST /d HTTP/1.1\r\ncontent-length: 0\r\n\r\nGET /e",
            hidden.len(),
            hidden.len()
        );
    for step in [1, 5, all.len()] {
        let mut requests = read(&all, step);
        let heads: Vec<_> = std::iter::from_fn(|| requests.next_framing()).collect();
        let heads: Vec<_> = heads.iter().map(|f| (f.lengths, f.encodings)).collect();
        assert_eq!(heads, [(1, 0), (0, 0), (0, 1), (1, 0)], "{step}");
        assert!(!requests.has_trailing_garbage());
        assert!(!requests.is_between());
    }
    assert!(read(&all[..all.len() - 6], 7).is_between());
}

/// Bytes beyond the stated length are no request, as their first ones show.
#[test]
fn what_follows_and_is_no_request_is_junk() {
    let post = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
    for (behind, junk) in [
        ("", false),
        ("\r\n", false),
        ("G", false),
        ("POST /", false),
        ("c", true),
        ("GOT", true),
        ("\0", true),
    ] {
        assert_eq!(read(&format!("{post}{behind}"), 4).has_trailing_garbage(), junk, "{behind:?}");
    }
    assert!(!read("PUT / HTTP/1.1\r\n\r\n", 4).has_trailing_garbage(), "the first one is hyper's to judge");
}
