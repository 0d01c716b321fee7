use super::*;
use crate::clock::Clock;
use crate::start_times::StartTimes;
use heronhoist_decision::Span;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

#[derive(Default)]
struct RecordingObserver(RefCell<Vec<(i64, usize)>>, Cell<u32>);

impl EndpointObserver<u16> for RecordingObserver {
    fn on_endpoints(&self, list: EndpointList<u16>) {
        self.0.borrow_mut().push((list.version, list.endpoints.len()));
    }
    fn on_failure(&self) {
        self.1.set(self.1.get() + 1);
    }
}

fn start_times() -> Rc<RefCell<StartTimes>> {
    Rc::new(RefCell::new(StartTimes::new(Clock::new(None))))
}

/// The results of a watch and a fetch can arrive out of order: a list older than the newest one must not undo a
/// drain.
#[test]
fn an_older_list_is_dropped_unless_it_comes_from_a_new_source() {
    let observer = Rc::new(RecordingObserver::default());
    let sink = EndpointSink::new(
        Rc::clone(&observer) as Rc<dyn EndpointObserver<u16>>,
        Rc::default(),
        start_times(),
        Some(5),
    );
    let list =
        |version| EndpointList { version, is_complete: true, endpoints: vec![EndpointInfo::serving("a", 1)] };
    assert!(
        !sink.publish(list(4)) && sink.publish(list(5)) && sink.publish(list(9)) && !sink.publish(list(8))
    );
    sink.reset_source();
    assert!(sink.publish(list(2)) && !sink.publish(list(1)));
    assert_eq!(*observer.0.borrow(), [(5, 1), (9, 1), (2, 1)]);
    sink.report_failure();
    assert_eq!(observer.1.get(), 1);
}

/// Records the start times in the lists that it receives.
#[derive(Default)]
pub(crate) struct StartObserver(pub(crate) RefCell<Vec<Option<Time>>>);

impl EndpointObserver<u16> for StartObserver {
    fn on_endpoints(&self, list: EndpointList<u16>) {
        self.0.borrow_mut().extend(list.endpoints.into_iter().map(|endpoint| endpoint.started_at));
    }
    fn on_failure(&self) {}
}

/// Neither a dropped list nor the lists of a previous source may bound a reported start time.
#[tokio::test(start_paused = true)]
async fn starts_are_bounded_only_by_published_lists_of_the_same_source() {
    let observer = Rc::new(StartObserver::default());
    let sink = EndpointSink::new(
        Rc::clone(&observer) as Rc<dyn EndpointObserver<u16>>,
        Rc::default(),
        start_times(),
        None,
    );
    let publish = |version, name: &str, reported| {
        let endpoints = vec![EndpointInfo { started_at: reported, ..EndpointInfo::serving(name, 1) }];
        sink.publish(EndpointList { version, is_complete: false, endpoints })
    };
    let started_at = sink.clock().now();
    publish(6, "a", None);
    tokio::time::advance(Duration::from_secs(2)).await;
    assert!(!publish(5, "a", None));
    let (now, after_first_list, before_first_list) =
        (sink.clock().now(), started_at + Span(1_000_000), Time(started_at.0 - 1));
    publish(7, "b", Some(after_first_list));
    publish(8, "c", Some(after_first_list));
    sink.reset_source();
    publish(1, "d", Some(before_first_list));
    publish(2, "e", Some(before_first_list));
    assert_eq!(
        *observer.0.borrow(),
        [None, Some(after_first_list), Some(now), Some(before_first_list), Some(now)]
    );
}

#[tokio::test]
async fn a_static_list_is_published_at_once_and_at_each_change() {
    let observer = Rc::new(RecordingObserver::default());
    let sink = EndpointSink::new(
        Rc::clone(&observer) as Rc<dyn EndpointObserver<u16>>,
        Rc::default(),
        start_times(),
        None,
    );
    let (sender, receiver) = watch::channel(vec![EndpointInfo::serving("a", 1)]);
    let run = Box::new(StaticEndpoints::new(receiver)).run(sink);
    let change = async {
        tokio::task::yield_now().await;
        sender.send_replace(vec![EndpointInfo::serving("a", 1), EndpointInfo::serving("b", 2)]);
        while observer.0.borrow().len() < 2 {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! { () = run => unreachable!(), () = change => {} }
    assert_eq!(*observer.0.borrow(), [(1, 1), (2, 2)]);
}
