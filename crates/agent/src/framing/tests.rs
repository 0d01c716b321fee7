use super::*;

fn track(text: &str, chunk_size: usize) -> RequestTracker {
    let mut tracker = RequestTracker::default();
    text.as_bytes().chunks(chunk_size).for_each(|chunk| tracker.feed(chunk));
    tracker
}

fn framings(text: &str) -> Vec<(u32, u32)> {
    let mut tracker = track(text, 3);
    std::iter::from_fn(|| tracker.next_framing()).map(|f| (f.lengths, f.encodings)).collect()
}

#[test]
fn framings_are_found_however_the_bytes_are_split() {
    let text = "\r\nPOST /x: HTTP/1.1\r\nTRANSFER-encoding: chunked\r\nContent-Length:4\r\nX: content-length: 4\r\nContent-Length-Not: 1\r\n\r\nbody\r\nContent-Length: 9\r\n\r\n";
    for step in [1, 2, 7, text.len()] {
        let mut tracker = track(text, step);
        let framing = tracker.next_framing().unwrap();
        assert_eq!((framing.lengths, framing.encodings), (1, 1), "{step}");
        assert!(!framing.is_clear());
        assert_eq!(tracker.next_framing(), None, "it is unknown where the next request begins");
    }
    assert_eq!(framings("GET / HTTP/1.1\nContent-Length: 1\n\n"), [(1, 0)]);
    assert_eq!(framings("GET / HTTP/1.1\r\nContent-Length: 1\r\nX:"), []);
    assert_eq!(framings("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n"), [(2, 0)]);
}

/// Pipelined requests are separated correctly, also where a body looks like a request.
#[test]
fn pipelined_requests_are_separated_by_their_framing() {
    let hidden = "GET /h HTTP/1.1\r\nContent-Length: 3\r\n\r\n";
    let all = format!(
            "POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n{hidden}GET /b HTTP/1.1\r\nHost: x\r\n\r\nPOST /c HTTP/1.1\r\n\
             Transfer-Encoding: chunked\r\n\r\n{:x};name=\"v\"\r\n{hidden}\r\n0\r\nTrailer: x\r\nContent-Length: 9\r\n\r\n\
             \r\nPOST /d HTTP/1.1\r\ncontent-length: 0\r\n\r\nGET /e",
            hidden.len(),
            hidden.len()
        );
    for step in [1, 5, all.len()] {
        let mut tracker = track(&all, step);
        let heads: Vec<_> = std::iter::from_fn(|| tracker.next_framing()).collect();
        let heads: Vec<_> = heads.iter().map(|f| (f.lengths, f.encodings)).collect();
        assert_eq!(heads, [(1, 0), (0, 0), (0, 1), (1, 0)], "{step}");
        assert!(!tracker.has_trailing_garbage());
        assert!(!tracker.is_between_requests());
    }
    assert!(track(&all[..all.len() - 6], 7).is_between_requests());
}

/// The first bytes after the stated length show that they are no request.
#[test]
fn bytes_after_a_request_that_begin_no_other_are_garbage() {
    let post = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
    for (behind, is_garbage) in [
        ("", false),
        ("\r\n", false),
        ("G", false),
        ("POST /", false),
        ("c", true),
        ("GOT", true),
        ("\0", true),
    ] {
        assert_eq!(track(&format!("{post}{behind}"), 4).has_trailing_garbage(), is_garbage, "{behind:?}");
    }
    assert!(!track("PUT / HTTP/1.1\r\n\r\n", 4).has_trailing_garbage(), "hyper validates the first one");
}
