//! Members: who takes part, and whether each is counted on.

use super::change::Changed;
use super::command::Reply;
use super::{name_fault, Revision, State};
use crate::{Bounds, Excess};
use serde::{Deserialize, Serialize};

/// Whether a member is counted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Its lease has not ended by the council's count.
    Living,
    /// A newer incarnation waits for this one's lease to end; it is not renewed any more.
    Superseded,
    /// It said that it went.
    Left,
    /// Its lease ran out.
    Expired,
}

impl Standing {
    /// Its lease may still be believed by its holder.
    pub fn may_hold(self) -> bool {
        matches!(self, Standing::Living | Standing::Superseded)
    }
}

/// A process that takes part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Higher with each start of a process of this name.
    pub incarnation: u64,
    /// What the process drew at its start, so that a repeat of its joining is known.
    pub nonce: u64,
    /// Where it stands.
    pub site: String,
    /// Of the program.
    pub version: String,
    /// Where its operators call.
    pub address: String,
    /// It says that it can serve.
    pub ready: bool,
    /// The number of the report that said so.
    pub report: u64,
    /// Whether it is counted on.
    pub standing: Standing,
    /// The revision of the last change.
    pub revision: Revision,
}

/// Whether a member is an agent, as against an operator's wrapper or a controller.
pub fn is_agent(name: &str) -> bool {
    !name.contains(':')
}

impl State {
    pub(super) fn join(
        &mut self,
        name: &str,
        (nonce, after): (u64, u64),
        about: [&String; 3],
        bounds: &Bounds,
    ) -> Reply {
        let [site, version, address] = about;
        let faults = [("name", name), ("site", site), ("version", version), ("address", address)];
        if let Some(fault) = faults.iter().find_map(|(what, text)| name_fault(what, text)) {
            return Reply::Refused(fault);
        }
        if name.is_empty() {
            return Reply::Refused("name: wanted one".into());
        }
        if let Some(member) = self.members.get(name) {
            let incarnation = member.incarnation;
            if member.nonce == nonce {
                // Asked again, since the reply was lost.
                return match member.standing {
                    Standing::Living => Reply::Joined { incarnation },
                    _ => Reply::NotLiving,
                };
            }
            if incarnation != after {
                return Reply::Present { incarnation };
            }
            match member.standing {
                Standing::Living => {
                    self.change_member(name, bounds, |member| member.standing = Standing::Superseded);
                    return Reply::Wait { incarnation };
                }
                Standing::Superseded => return Reply::Wait { incarnation },
                Standing::Left | Standing::Expired => {}
            }
        } else if after != 0 {
            return Reply::Present { incarnation: 0 };
        } else if self.members.len() >= bounds.members {
            return Reply::Over(Excess::of("members", bounds.members));
        }
        self.revision += 1;
        let incarnation = self.open(bounds);
        let [site, version, address] = about.map(Clone::clone);
        let standing = Standing::Living;
        let revision = self.revision;
        let (ready, report) = (false, 0);
        let member = Member { incarnation, nonce, site, version, address, ready, report, standing, revision };
        self.members.insert(name.into(), member.clone());
        self.note(Changed::Member(name.into(), Some(member)), bounds);
        Reply::Joined { incarnation }
    }

    /// The member of this name, if it is this one and living.
    pub fn living(&self, name: &str, incarnation: u64) -> Option<&Member> {
        let member = self.members.get(name)?;
        (member.incarnation == incarnation && member.standing == Standing::Living).then_some(member)
    }

    pub(super) fn end(&mut self, name: &str, incarnation: u64, standing: Standing, bounds: &Bounds) -> Reply {
        let member = self.members.get(name);
        if !member.is_some_and(|member| member.incarnation == incarnation && member.standing.may_hold()) {
            return Reply::NotLiving;
        }
        self.sessions.remove(&incarnation);
        self.change_member(name, bounds, |member| {
            member.standing = standing;
            member.ready = false;
        })
    }

    pub(super) fn change_member(
        &mut self,
        name: &str,
        bounds: &Bounds,
        change: impl FnOnce(&mut Member),
    ) -> Reply {
        let Some(member) = self.members.get_mut(name) else { return Reply::NotLiving };
        self.revision += 1;
        member.revision = self.revision;
        change(member);
        let member = member.clone();
        self.note(Changed::Member(name.into(), Some(member)), bounds);
        Reply::Done(self.revision)
    }
}
