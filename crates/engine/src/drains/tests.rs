use super::*;
use crate::membership::Fixed;
use tokio::task::yield_now;

type Line = (String, State, bool);

#[derive(Default)]
struct Notes(RefCell<Vec<(bool, Vec<Line>)>>);

impl Heard<u16> for Notes {
    fn listed(&self, list: List<u16>) {
        let line = |member: Member<u16>| (member.name, member.state, member.started.is_some());
        self.0.borrow_mut().push((list.whole, list.members.into_iter().map(line).collect()));
    }
    fn failed(&self) {}
}

fn line(name: &str, state: State, cold: bool) -> Line {
    (name.to_string(), state, cold)
}

#[tokio::test]
async fn the_stricter_of_two_words_holds_and_who_comes_back_is_cold() {
    use State::{Draining, Serving};
    let notes = Rc::new(Notes::default());
    let (tell, drained) = watch::channel(BTreeSet::from(["a".to_string()]));
    let listed = |state| vec![Member { state, ..Member::serving("a", 1) }, Member::serving("b", 2)];
    let (list, lists) = watch::channel(listed(Serving));
    let feed = Feed::new(Rc::clone(&notes) as Rc<dyn Heard<u16>>, Rc::default(), None);
    let run = Box::new(Drainable::new(Box::new(Fixed::new(lists)), drained, &[], None)).run(feed);
    let heard = async |wanted: Vec<(bool, Vec<Line>)>| {
        while notes.0.borrow().len() < wanted.len() {
            yield_now().await;
        }
        yield_now().await;
        assert_eq!(notes.0.take(), wanted);
    };
    let change = async {
        heard(vec![(true, vec![line("a", Draining, false), line("b", Serving, false)])]).await;
        tell.send_replace(BTreeSet::from(["b".to_string(), "unknown".to_string()]));
        heard(vec![(false, vec![line("a", Serving, true), line("b", Draining, false)])]).await;
        // Its source drains it too: that the other word ends changes nothing.
        tell.send_replace(BTreeSet::from(["a".to_string()]));
        heard(vec![(false, vec![line("a", Draining, true), line("b", Serving, true)])]).await;
        list.send_replace(listed(Draining));
        heard(vec![(true, vec![line("a", Draining, true), line("b", Serving, true)])]).await;
        tell.send_replace(BTreeSet::new());
        heard(vec![(false, vec![line("a", Draining, true)])]).await;
    };
    tokio::select! { () = run => unreachable!(), () = change => {} }
}
