use super::*;
use crate::clock::Clock;
use crate::start_times::StartTimes;
use heronhoist_decision::Span;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

#[derive(Default)]
struct Notes(RefCell<Vec<(i64, usize)>>, Cell<u32>);

impl EndpointObserver<u16> for Notes {
    fn on_endpoints(&self, list: EndpointList<u16>) {
        self.0.borrow_mut().push((list.version, list.endpoints.len()));
    }
    fn on_failure(&self) {
        self.1.set(self.1.get() + 1);
    }
}

fn starts() -> Rc<RefCell<StartTimes>> {
    Rc::new(RefCell::new(StartTimes::new(Clock::new(None))))
}

/// A watch and a fetch can cross: whatever is older than what stands must not undo a drain.
#[test]
fn an_older_list_does_not_pass_but_another_sources_does() {
    let notes = Rc::new(Notes::default());
    let feed = EndpointSink::new(
        Rc::clone(&notes) as Rc<dyn EndpointObserver<u16>>,
        Rc::default(),
        starts(),
        Some(5),
    );
    let list =
        |version| EndpointList { version, is_complete: true, endpoints: vec![EndpointInfo::serving("a", 1)] };
    assert!(
        !feed.publish(list(4)) && feed.publish(list(5)) && feed.publish(list(9)) && !feed.publish(list(8))
    );
    feed.reset_source();
    assert!(feed.publish(list(2)) && !feed.publish(list(1)));
    assert_eq!(*notes.0.borrow(), [(5, 1), (9, 1), (2, 1)]);
    feed.report_failure();
    assert_eq!(notes.1.get(), 1);
}

#[derive(Default)]
struct Starts(RefCell<Vec<Option<Time>>>);

impl EndpointObserver<u16> for Starts {
    fn on_endpoints(&self, list: EndpointList<u16>) {
        self.0.borrow_mut().extend(list.endpoints.into_iter().map(|member| member.started_at));
    }
    fn on_failure(&self) {}
}

/// A list that is left out bounds no start, and what another source tells first is bounded by none of this one's lists.
#[tokio::test(start_paused = true)]
async fn starts_are_bounded_by_the_lists_that_passed_from_the_same_source() {
    let heard = Rc::new(Starts::default());
    let feed =
        EndpointSink::new(Rc::clone(&heard) as Rc<dyn EndpointObserver<u16>>, Rc::default(), starts(), None);
    let tell = |version, name: &str, started| {
        let members = vec![EndpointInfo { started_at: started, ..EndpointInfo::serving(name, 1) }];
        feed.publish(EndpointList { version, is_complete: false, endpoints: members })
    };
    let begun = feed.clock().now();
    tell(6, "a", None);
    tokio::time::advance(Duration::from_secs(2)).await;
    assert!(!tell(5, "a", None));
    let (now, between, before) = (feed.clock().now(), begun + Span(1_000_000), Time(begun.0 - 1));
    tell(7, "b", Some(between));
    tell(8, "c", Some(between));
    feed.reset_source();
    tell(1, "d", Some(before));
    tell(2, "e", Some(before));
    assert_eq!(*heard.0.borrow(), [None, Some(between), Some(now), Some(before), Some(now)]);
}

#[tokio::test]
async fn a_fixed_list_is_told_at_once_and_at_each_change() {
    let notes = Rc::new(Notes::default());
    let feed =
        EndpointSink::new(Rc::clone(&notes) as Rc<dyn EndpointObserver<u16>>, Rc::default(), starts(), None);
    let (tell, told) = watch::channel(vec![EndpointInfo::serving("a", 1)]);
    let run = Box::new(StaticEndpoints::new(told)).run(feed);
    let change = async {
        tokio::task::yield_now().await;
        tell.send_replace(vec![EndpointInfo::serving("a", 1), EndpointInfo::serving("b", 2)]);
        while notes.0.borrow().len() < 2 {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! { () = run => unreachable!(), () = change => {} }
    assert_eq!(*notes.0.borrow(), [(1, 1), (2, 2)]);
}
