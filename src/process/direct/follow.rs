//! Follows topics of the platform's store: the configuration and the targets.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

use super::shell::{DirectDriver, STORE_READ_OK};
use crate::{
    direct::{DirectEvent, DirectTarget, ReadSchedule, TargetChange},
    ids::TargetId,
    platform::{
        configuration, discovery,
        settings::PlatformSettings,
        store::{KeyedRecord, RecordPage, StoreError, TopicPosition},
    },
};

/// Initial and maximum backoff after a failed read.
const RETRY_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(800));
/// Shortest pause before a read that a request waits for, so that many requests share one.
const DEMAND_PAUSE: Duration = Duration::from_millis(100);

/// Starts to follow the configuration and the targets.
pub(super) fn spawn(settings: &PlatformSettings, driver: &Rc<DirectDriver>) {
    let (configuration_bound, drain_bound) = (settings.configuration_bound, settings.drain_bound);
    let (configuration_driver, target_driver) = (driver.clone(), driver.clone());
    tokio::task::spawn_local(async move {
        let follower = ConfigurationFollower { driver: configuration_driver.clone() };
        let schedule = ReadSchedule::of_configuration(configuration_bound);
        let topic = FollowedTopic { name: configuration::TOPIC, schedule };
        follow(&configuration_driver, topic, follower).await;
    });
    tokio::task::spawn_local(async move {
        let follower = TargetFollower::new(target_driver.clone());
        let schedule = ReadSchedule::of_targets(drain_bound);
        let topic = FollowedTopic { name: discovery::TOPIC, schedule };
        follow(&target_driver, topic, follower).await;
    });
}

/// Topic of the store and how often it is read.
#[derive(Debug, Clone, Copy)]
pub(super) struct FollowedTopic {
    pub(super) name: &'static str,
    pub(super) schedule: ReadSchedule,
}

/// Consumer of the records of a topic.
pub(super) trait TopicFollower {
    /// Applies the newest record of every key of the topic.
    fn apply_snapshot(&mut self, records: Vec<KeyedRecord>);
    /// Applies new records in order.
    fn apply_changes(&mut self, records: Vec<KeyedRecord>);
    /// Called after a failed read, except when records were deleted.
    fn store_unavailable(&mut self);
    /// Called after each read, for periodic work.
    fn after_read(&mut self);
    /// Called after a read that reached the end of the topic and began `age` ago.
    fn read_to_end(&mut self, _age: Duration) {}
    /// Returns what is notified when the topic has to be read at once.
    fn demand(&self) -> Rc<Notify> {
        Rc::default()
    }
}

/// Reads a snapshot of a topic and then its changes, without end. Starts again from a
/// snapshot if the store has deleted changes that were not read yet, or after a
/// malformed response.
pub(super) async fn follow(
    driver: &DirectDriver,
    followed: FollowedTopic,
    mut follower: impl TopicFollower,
) {
    let mut store = driver.store_client();
    let FollowedTopic { name: topic, schedule: ReadSchedule { pause, poll_wait } } = followed;
    let demand = follower.demand();
    let mut is_demanded = false;
    let mut next: Option<TopicPosition> = None;
    let mut backoff = RETRY_BACKOFF.0;
    let mut reachable = true;
    loop {
        let started = Instant::now();
        let result = match next {
            None => store.read_newest(topic).await.map(|page| (true, page)),
            Some(from) => {
                let wait = if is_demanded { Duration::ZERO } else { poll_wait };
                let read = tokio::select! {
                    biased;
                    result = store.read_from(topic, from, wait) => Some(result),
                    () = demand.notified(), if !is_demanded => None,
                };
                let Some(result) = read else {
                    store.disconnect();
                    is_demanded = true;
                    continue;
                };
                result.map(|page| (false, page))
            }
        };
        is_demanded = false;
        let label = result.as_ref().map_or_else(StoreError::label, |_| STORE_READ_OK);
        driver.record_store_read(topic, label, started.elapsed());
        match result {
            Ok((is_snapshot, page)) => {
                if !reachable {
                    log::info!(topic:% = topic; "store reachable again");
                }
                reachable = true;
                backoff = RETRY_BACKOFF.0;
                next = Some(page.next);
                let reached_end = page.reached_end;
                apply(&mut follower, is_snapshot, page);
                if reached_end {
                    follower.read_to_end(started.elapsed());
                }
                follower.after_read();
                is_demanded = pause_unless_demanded(&demand, pause).await;
            }
            Err(StoreError::Deleted { first }) => {
                log::info!(
                    topic:% = topic, first:% = first;
                    "unread records were deleted; reading the topic from a snapshot"
                );
                next = None;
            }
            Err(error) => {
                if reachable {
                    log::warn!(topic:% = topic, error:% = error; "store unreachable");
                }
                reachable = false;
                if error == StoreError::Malformed {
                    next = None;
                }
                follower.store_unavailable();
                follower.after_read();
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(RETRY_BACKOFF.1);
            }
        }
    }
}

/// Waits between two reads, and returns whether the next one is demanded before the time is over.
async fn pause_unless_demanded(demand: &Notify, pause: Duration) -> bool {
    let shortest = DEMAND_PAUSE.min(pause);
    tokio::time::sleep(shortest).await;
    tokio::select! {
        biased;
        () = demand.notified() => true,
        () = tokio::time::sleep(pause - shortest) => false,
    }
}

fn apply(follower: &mut impl TopicFollower, is_snapshot: bool, page: RecordPage) {
    if is_snapshot {
        follower.apply_snapshot(page.records);
    } else if !page.records.is_empty() {
        follower.apply_changes(page.records);
    }
}

struct ConfigurationFollower {
    driver: Rc<DirectDriver>,
}

impl TopicFollower for ConfigurationFollower {
    fn apply_snapshot(&mut self, records: Vec<KeyedRecord>) {
        self.apply_changes(records);
    }

    fn apply_changes(&mut self, records: Vec<KeyedRecord>) {
        let newest = records.into_iter().rev().filter(|record| record.key == configuration::KEY);
        for value in newest.filter_map(|record| record.value) {
            match configuration::decode(&value) {
                Ok(routes) => {
                    log::info!(version:% = routes.version; "configuration read");
                    self.driver.records.borrow_mut().set_configuration(value);
                    self.driver.step(DirectEvent::Routes(Arc::new(routes)));
                    return;
                }
                Err(error) => log::warn!(error:% = error; "malformed configuration ignored"),
            }
        }
    }

    fn store_unavailable(&mut self) {}

    fn after_read(&mut self) {}
}

struct TargetFollower {
    driver: Rc<DirectDriver>,
    /// Targets whose registration was logged.
    registered: HashSet<TargetId>,
    /// Offsets of the records in the last snapshot. Its pages are not of one moment, so that
    /// changes which follow it may be older than what it held.
    offsets: HashMap<TargetId, u64>,
}

impl TargetFollower {
    fn new(driver: Rc<DirectDriver>) -> TargetFollower {
        TargetFollower { driver, registered: HashSet::new(), offsets: HashMap::new() }
    }

    fn decode(&self, record: &KeyedRecord) -> Option<DirectTarget> {
        let value = record.value.as_ref()?;
        match discovery::decode(&record.key, value) {
            Ok(target) => {
                let mut records = self.driver.records.borrow_mut();
                records.set_target(&record.key, Some(value.clone()));
                Some(target)
            }
            Err(error) => {
                log::info!(error:% = error; "malformed target registration ignored");
                None
            }
        }
    }

    fn log_registration(&mut self, target: &DirectTarget) {
        let is_new = self.registered.insert(target.id.clone());
        if is_new || target.leaving {
            log::info!(
                target_id:% = target.id, service:% = target.service, stage:% = target.stage,
                version:% = target.version, leaving:% = target.leaving;
                "target registered"
            );
        }
    }

    fn log_removal(&mut self, id: &TargetId) {
        if self.registered.remove(id) {
            log::info!(target_id:% = id; "target registration removed");
        }
    }

    fn apply(&self, change: TargetChange) {
        self.driver.step(DirectEvent::Target(change));
    }
}

impl TopicFollower for TargetFollower {
    fn apply_snapshot(&mut self, records: Vec<KeyedRecord>) {
        let offsets = records.iter().map(|record| (record.key.as_str().into(), record.offset));
        self.offsets = offsets.collect();
        let present: Vec<TargetId> =
            records.iter().map(|record| record.key.as_str().into()).collect();
        let is_present = |id: &str| present.iter().any(|present| &**present == id);
        self.driver.records.borrow_mut().retain_targets(is_present);
        let targets: Vec<DirectTarget> =
            records.iter().filter_map(|record| self.decode(record)).collect();
        let missing = self.registered.iter().filter(|id| !present.contains(id)).cloned();
        missing.collect::<Vec<TargetId>>().iter().for_each(|id| self.log_removal(id));
        targets.iter().for_each(|target| self.log_registration(target));
        self.apply(TargetChange::Snapshot { present, targets });
    }

    fn apply_changes(&mut self, records: Vec<KeyedRecord>) {
        for record in &records {
            if self.offsets.get(record.key.as_str()).is_some_and(|known| record.offset < *known) {
                continue;
            }
            if record.value.is_none() {
                let id: TargetId = record.key.as_str().into();
                self.log_removal(&id);
                self.driver.records.borrow_mut().set_target(&id, None);
                self.apply(TargetChange::Removed(id));
            } else if let Some(target) = self.decode(record) {
                self.log_registration(&target);
                self.apply(TargetChange::Listed(target));
            }
        }
    }

    fn store_unavailable(&mut self) {
        self.apply(TargetChange::ReadFailed);
    }

    fn after_read(&mut self) {
        self.driver.pools.close_expired();
    }

    fn read_to_end(&mut self, age: Duration) {
        self.driver.step(DirectEvent::TargetsRead { age });
    }

    fn demand(&self) -> Rc<Notify> {
        self.driver.target_demand.clone()
    }
}
