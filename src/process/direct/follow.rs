//! Follows the platform's store: the configuration and the list of targets.

use std::{collections::HashSet, rc::Rc, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::shell::{DirectShell, STORE_READ};
use crate::{
    direct::{DirectEvent, DirectTarget, TargetChange},
    ids::TargetId,
    platform::{
        configuration, discovery,
        settings::PlatformSettings,
        store::{KeyedRecord, RecordPage, StoreClient, StoreError},
    },
};

/// Pause between reads of the configuration, and how long the store may hold one
/// that finds nothing new. Together they stay under the 2 s in which a
/// configuration has to be in force: the store does not always answer a held
/// read with the first new record, and a silent connection shows only after it.
const CONFIGURATION_PACE: Duration = Duration::from_millis(250);
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1500);
/// The same for the targets, so that one read takes several records; leaving
/// targets have to be known within 2 s.
const TARGET_PACE: Duration = Duration::from_millis(700);
const TARGET_WAIT: Duration = Duration::from_millis(1100);
/// First pause after a failed call, and the longest one.
const FAILURE_PAUSE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(800));
/// Starts both followers.
pub(super) fn spawn(settings: &PlatformSettings, shell: &Rc<DirectShell>) {
    let store = settings.store;
    let (first, second) = (shell.clone(), shell.clone());
    tokio::task::spawn_local(async move {
        let follower = ConfigurationFollower { shell: first.clone() };
        let topic = FollowedTopic {
            name: configuration::TOPIC,
            pace: CONFIGURATION_PACE,
            wait: CONFIGURATION_WAIT,
        };
        follow(&first, StoreClient::new(store), topic, follower).await;
    });
    tokio::task::spawn_local(async move {
        let follower = TargetFollower::new(second.clone());
        let topic = FollowedTopic { name: discovery::TOPIC, pace: TARGET_PACE, wait: TARGET_WAIT };
        follow(&second, StoreClient::new(store), topic, follower).await;
    });
}

/// Topic of the store, the pause between reads of it, and how long one may be held.
#[derive(Debug, Clone, Copy)]
pub(super) struct FollowedTopic {
    pub(super) name: &'static str,
    pub(super) pace: Duration,
    pub(super) wait: Duration,
}

/// What is done with the records of a topic.
pub(super) trait TopicFollower {
    /// Takes the newest record of every key.
    fn whole(&mut self, records: Vec<KeyedRecord>);
    /// Takes records in order.
    fn changes(&mut self, records: Vec<KeyedRecord>);
    /// Notes that the store did not answer.
    fn unavailable(&mut self);
    /// Called after each read, for what falls due with time.
    fn settle(&mut self);
}

/// Reads a topic as a whole, then each change, and as a whole again where
/// records were deleted.
pub(super) async fn follow(
    shell: &DirectShell,
    mut store: StoreClient,
    followed: FollowedTopic,
    mut follower: impl TopicFollower,
) {
    let FollowedTopic { name: topic, pace, wait } = followed;
    let mut next: Option<u64> = None;
    let mut pause = FAILURE_PAUSE.0;
    let mut reachable = true;
    loop {
        let begun = Instant::now();
        let result = match next {
            None => store.read_newest(topic).await.map(|page| (true, page)),
            Some(from) => store.read_from(topic, from, wait).await.map(|page| (false, page)),
        };
        let end = result.as_ref().map_or_else(StoreError::label, |_| STORE_READ);
        shell.note_store_call(topic, end, begun.elapsed());
        match result {
            Ok((whole, page)) => {
                if !reachable {
                    log::info!(topic:% = topic; "store reached again");
                }
                reachable = true;
                pause = FAILURE_PAUSE.0;
                next = Some(page.next);
                apply(&mut follower, whole, page);
                follower.settle();
                tokio::time::sleep(pace).await;
            }
            Err(StoreError::Deleted { first }) => {
                log::info!(topic:% = topic, first:% = first; "records deleted: topic read anew");
                next = None;
            }
            Err(error) => {
                if reachable {
                    log::warn!(topic:% = topic, error:% = error; "store lost");
                }
                reachable = false;
                if error == StoreError::Malformed {
                    next = None;
                }
                follower.unavailable();
                follower.settle();
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(FAILURE_PAUSE.1);
            }
        }
    }
}

fn apply(follower: &mut impl TopicFollower, whole: bool, page: RecordPage) {
    if whole {
        follower.whole(page.records);
    } else if !page.records.is_empty() {
        follower.changes(page.records);
    }
}

struct ConfigurationFollower {
    shell: Rc<DirectShell>,
}

impl TopicFollower for ConfigurationFollower {
    fn whole(&mut self, records: Vec<KeyedRecord>) {
        self.changes(records);
    }

    fn changes(&mut self, records: Vec<KeyedRecord>) {
        let newest = records.into_iter().rev().filter(|record| record.key == configuration::KEY);
        for value in newest.filter_map(|record| record.value) {
            match configuration::decode(&value) {
                Ok(routes) => {
                    log::info!(version:% = routes.version; "configuration read");
                    self.shell.records.borrow_mut().set_configuration(value);
                    self.shell.step(DirectEvent::Routes(Arc::new(routes)));
                    return;
                }
                Err(error) => log::warn!(error:% = error; "configuration kept"),
            }
        }
    }

    fn unavailable(&mut self) {}

    fn settle(&mut self) {}
}

struct TargetFollower {
    shell: Rc<DirectShell>,
    /// Targets that were logged as listed.
    listed: HashSet<TargetId>,
}

impl TargetFollower {
    fn new(shell: Rc<DirectShell>) -> TargetFollower {
        TargetFollower { shell, listed: HashSet::new() }
    }

    fn decode(&self, record: &KeyedRecord) -> Option<DirectTarget> {
        let value = record.value.as_ref()?;
        match discovery::decode(&record.key, value) {
            Ok(target) => {
                let mut records = self.shell.records.borrow_mut();
                records.set_target(&record.key, Some(value.clone()));
                Some(target)
            }
            Err(error) => {
                log::info!(error:% = error; "entry ignored");
                None
            }
        }
    }

    fn note_listed(&mut self, target: &DirectTarget) {
        let fresh = self.listed.insert(target.id.clone());
        if fresh || target.leaving {
            log::info!(
                target_id:% = target.id, service:% = target.service, stage:% = target.stage,
                leaving:% = target.leaving;
                "target listed"
            );
        }
    }

    fn note_gone(&mut self, id: &TargetId) {
        if self.listed.remove(id) {
            log::info!(target_id:% = id; "target's entry gone");
        }
    }

    fn apply(&self, change: TargetChange) {
        self.shell.step(DirectEvent::Target(change));
    }
}

impl TopicFollower for TargetFollower {
    fn whole(&mut self, records: Vec<KeyedRecord>) {
        let present: Vec<TargetId> =
            records.iter().map(|record| record.key.as_str().into()).collect();
        let listed = |id: &str| present.iter().any(|present| &**present == id);
        self.shell.records.borrow_mut().retain_targets(listed);
        let targets: Vec<DirectTarget> =
            records.iter().filter_map(|record| self.decode(record)).collect();
        let missing = self.listed.iter().filter(|id| !present.contains(id)).cloned();
        missing.collect::<Vec<TargetId>>().iter().for_each(|id| self.note_gone(id));
        targets.iter().for_each(|target| self.note_listed(target));
        self.apply(TargetChange::Snapshot { present, targets });
    }

    fn changes(&mut self, records: Vec<KeyedRecord>) {
        for record in &records {
            if record.value.is_none() {
                let id: TargetId = record.key.as_str().into();
                self.note_gone(&id);
                self.shell.records.borrow_mut().set_target(&id, None);
                self.apply(TargetChange::Removed(id));
            } else if let Some(target) = self.decode(record) {
                self.note_listed(&target);
                self.apply(TargetChange::Listed(target));
            }
        }
    }

    fn unavailable(&mut self) {
        self.apply(TargetChange::ReadFailed);
    }

    fn settle(&mut self) {
        self.shell.pools.close_expired();
    }
}
