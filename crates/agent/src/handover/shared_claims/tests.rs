use super::*;
use tokio::task::{yield_now, LocalSet};

fn id(number: usize) -> CorrelationId {
    format!("id-{number}").as_bytes().into()
}

fn run<T>(test: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.unwrap(), test)
}

fn linked() -> (Rc<SharedClaims>, Rc<SharedClaims>) {
    let (one, other) = UnixStream::pair().unwrap();
    let (old, new) = (SharedClaims::new(1000), SharedClaims::new(1000));
    old.add_link(one);
    new.add_link(other);
    (old, new)
}

#[test]
fn a_claim_is_known_to_the_other_process_at_once() {
    run(async {
        let (old, new) = linked();
        assert!(old.claim(&id(1)));
        assert!(new.is_claimed(&id(1)) && !new.claim(&id(1)));
        old.release(&id(1));
        assert!(new.claim(&id(1)));
        assert!(!old.claim(&id(1)));
    });
}

/// Two processes claim the same id at the same time: neither has read the other's claim before it has written its own.
#[test]
fn an_id_that_both_claim_at_the_same_time_is_granted_to_one_at_most() {
    run(async {
        let (old, new) = linked();
        old.claims.borrow_mut().insert(&id(1), Instant::now());
        old.send(Message::Claim, &id(1), None);
        // The claim of `old` has been written and not been checked yet.
        new.claims.borrow_mut().insert(&id(1), Instant::now());
        new.send(Message::Claim, &id(1), None);
        assert!(old.receive().contains(&id(1)) && new.receive().contains(&id(1)));
    });
}

/// Claims from before the connection are known to a new process when it has joined, and a process in the middle passes claims on.
#[test]
fn earlier_claims_are_known_after_joining() {
    const CLAIMS: usize = 900;
    run(async {
        let folder = std::env::temp_dir().join(format!("heronhoist-claims-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("a.sock");
        let (first, second, third) =
            (SharedClaims::new(1000), SharedClaims::new(1000), SharedClaims::new(1000));
        (0..CLAIMS).for_each(|number| assert!(first.claim(&id(number))));
        spawn_local(Rc::clone(&first).serve(SharedClaims::listen(&path).unwrap()));
        second.join(&[path.clone(), path.clone()]).await;
        assert_eq!(second.links.borrow().len(), 1, "of several paths one is used");
        assert!((0..CLAIMS).all(|number| second.is_claimed(&id(number))));
        spawn_local(Rc::clone(&second).serve(SharedClaims::listen(&path).unwrap()));
        third.join(&[folder.join("none.sock"), path]).await;
        assert!(!third.claim(&id(CLAIMS - 1)));
        assert!(first.claim(&id(CLAIMS)));
        while !third.is_claimed(&id(CLAIMS)) {
            yield_now().await;
        }
        std::fs::remove_dir_all(&folder).unwrap();
    });
}

/// A process that has exited or does not read must not hold up the claims of this one.
#[test]
fn claims_go_on_without_the_other_process() {
    run(async {
        let (silent, other) = UnixStream::pair().unwrap();
        let claims = SharedClaims::new(usize::MAX);
        claims.add_link(other);
        for number in 0..200_000 {
            assert!(claims.claim(&id(number)));
            // Its task waits for room again before the next claim.
            yield_now().await;
        }
        assert_eq!(claims.links.borrow().len(), 0, "it has been given up");
        let task_ended = async {
            while Rc::strong_count(&claims) > 1 {
                yield_now().await;
            }
        };
        timeout(Duration::from_secs(10), task_ended).await.expect("its task ends");
        let end = std::io::Read::read_to_end(&mut silent.into_std().unwrap(), &mut Vec::new());
        assert!(end.is_ok(), "its connection is closed: {end:?}");
        assert!(claims.claim(&id(200_000)));
    });
}
