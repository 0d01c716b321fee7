use super::*;
use crate::endpoint_source::tests::StartObserver;
use crate::endpoint_source::StaticEndpoints;
use crate::start_times::StartTimes;
use heronhoist_decision::Span;
use std::time::Duration;
use tokio::task::yield_now;

/// The name and state of a published endpoint, and whether it has a start time.
type Published = (String, EndpointState, bool);

#[derive(Default)]
struct RecordingObserver(RefCell<Vec<(bool, Vec<Published>)>>);

impl EndpointObserver<u16> for RecordingObserver {
    fn on_endpoints(&self, list: EndpointList<u16>) {
        let published =
            |endpoint: EndpointInfo<u16>| (endpoint.name, endpoint.state, endpoint.started_at.is_some());
        self.0.borrow_mut().push((list.is_complete, list.endpoints.into_iter().map(published).collect()));
    }
    fn on_failure(&self) {}
}

fn published(name: &str, state: EndpointState, has_started: bool) -> Published {
    (name.to_string(), state, has_started)
}

#[tokio::test]
async fn a_drain_by_either_authority_applies_and_a_server_warms_up_after_it() {
    use EndpointState::{Draining, Serving};
    let observer = Rc::new(RecordingObserver::default());
    let (sender, drained) = watch::channel(BTreeSet::from(["a".to_string()]));
    let endpoints =
        |state| vec![EndpointInfo { state, ..EndpointInfo::serving("a", 1) }, EndpointInfo::serving("b", 2)];
    let (list_sender, lists) = watch::channel(endpoints(Serving));
    let starts = Rc::new(RefCell::new(StartTimes::new(Clock::new(None))));
    let sink =
        EndpointSink::new(Rc::clone(&observer) as Rc<dyn EndpointObserver<u16>>, Rc::default(), starts, None);
    let run = Box::new(DrainableSource::new(Box::new(StaticEndpoints::new(lists)), drained, &[])).run(sink);
    let expect = async |expected: Vec<(bool, Vec<Published>)>| {
        while observer.0.borrow().len() < expected.len() {
            yield_now().await;
        }
        yield_now().await;
        assert_eq!(observer.0.take(), expected);
    };
    let change = async {
        expect(vec![(true, vec![published("a", Draining, false), published("b", Serving, false)])]).await;
        sender.send_replace(BTreeSet::from(["b".to_string(), "unknown".to_string()]));
        expect(vec![(false, vec![published("a", Serving, true), published("b", Draining, false)])]).await;
        sender.send_replace(BTreeSet::from(["a".to_string()]));
        expect(vec![(false, vec![published("a", Draining, true), published("b", Serving, true)])]).await;
        list_sender.send_replace(endpoints(Draining));
        expect(vec![(true, vec![published("a", Draining, true), published("b", Serving, true)])]).await;
        // The source drains the server too, so the end of the second authority's drain does not make it serve.
        sender.send_replace(BTreeSet::new());
        expect(vec![(false, vec![published("a", Draining, true)])]).await;
    };
    tokio::select! { () = run => unreachable!(), () = change => {} }
}

/// A source that never publishes anything.
struct SilentSource;

impl EndpointSource<u16> for SilentSource {
    fn run(self: Box<Self>, sink: EndpointSink<u16>) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(async move {
            let _sink = sink;
            std::future::pending::<()>().await;
        })
    }
}

/// Before the source has published, drains must be applied to the saved list by the pool's clock, with the start
/// times that the pool has resolved for it.
#[tokio::test(start_paused = true)]
async fn before_the_first_list_drains_use_the_resolved_start_times() {
    let (epoch, hour) = (Time(1_800_000_000_000_000), Span::from_ms(3.6e6));
    let observer = Rc::new(StartObserver::default());
    let known = EndpointInfo { started_at: Some(epoch + hour), ..EndpointInfo::serving("a", 1) };
    let starts = Rc::new(RefCell::new(StartTimes::new(Clock::new(Some(epoch)))));
    starts.borrow_mut().resolve_saved(&mut [known.clone()]);
    tokio::time::advance(Duration::from_secs(1)).await;
    let sink =
        EndpointSink::new(Rc::clone(&observer) as Rc<dyn EndpointObserver<u16>>, Rc::default(), starts, None);
    let (sender, drained) = watch::channel(BTreeSet::new());
    let run = Box::new(DrainableSource::new(Box::new(SilentSource), drained, &[known])).run(sink);
    let change = async {
        yield_now().await;
        for (count, names) in [(1, BTreeSet::from(["a".to_string()])), (2, BTreeSet::new())] {
            sender.send_replace(names);
            while observer.0.borrow().len() < count {
                yield_now().await;
            }
        }
    };
    tokio::select! { () = run => unreachable!(), () = change => {} }
    assert_eq!(*observer.0.borrow(), [Some(epoch), Some(epoch + Span::from_ms(1000.0))]);
}
