//! A target's queue serves customers by share, and one customer's work by deadline.

use std::time::Duration;

use sapphirewell::{
    ids::{AttemptId, RequestId},
    side::{QueueOrder, QueuedWork, WorkQueue},
};

fn work(sequence: u64, customer: &str, share_ppm: u32, deadline_s: u64, cost: u64) -> QueuedWork {
    QueuedWork {
        attempt: AttemptId { request: RequestId { instance: 1, sequence }, number: 1 },
        customer: customer.into(),
        share_ppm,
        priority: 1,
        deadline: Duration::from_secs(deadline_s),
        cost,
        prompt_tokens: cost as u32,
        kv_pages: 1,
        isolated: false,
    }
}

fn served(queue: &mut WorkQueue, count: usize) -> Vec<String> {
    (0..count).filter_map(|_| queue.pop()).map(|work| work.customer.to_string()).collect()
}

#[test]
fn customers_are_served_by_share_under_contention() {
    let mut queue = WorkQueue::new(QueueOrder::Fair);
    for sequence in 0..100 {
        queue.push(work(sequence, "large", 300_000, 10, 100));
        queue.push(work(1000 + sequence, "small", 100_000, 10, 100));
    }
    let order = served(&mut queue, 40);
    let large = order.iter().filter(|customer| *customer == "large").count();
    assert_eq!(large, 30);
}

#[test]
fn a_burst_of_one_customer_does_not_delay_another() {
    let mut queue = WorkQueue::new(QueueOrder::Fair);
    for sequence in 0..1000 {
        queue.push(work(sequence, "newcomer", 100_000, 10, 1000));
    }
    served(&mut queue, 5);
    queue.push(work(5000, "settled", 300_000, 20, 1000));
    assert!(served(&mut queue, 2).contains(&"settled".to_owned()));
}

#[test]
fn unused_share_goes_to_active_customers() {
    let mut queue = WorkQueue::new(QueueOrder::Fair);
    for sequence in 0..10 {
        queue.push(work(sequence, "only", 1000, 10, 100));
    }
    assert_eq!(served(&mut queue, 10).len(), 10);
    assert!(queue.is_empty());
    assert_eq!(queue.waiting_tokens(), &[0; 10]);
}

#[test]
fn within_a_customer_the_earliest_deadline_goes_first() {
    let mut queue = WorkQueue::new(QueueOrder::Fair);
    queue.push(work(1, "a", 1000, 30, 9000));
    queue.push(work(2, "a", 1000, 4, 100));
    assert_eq!(queue.pop().unwrap().attempt.request.sequence, 2);
}

#[test]
fn removing_an_attempt_also_removes_its_tokens() {
    let mut queue = WorkQueue::new(QueueOrder::Fair);
    let item = work(1, "a", 1000, 30, 9000);
    queue.push(item.clone());
    assert_eq!(queue.remove(item.attempt), Some(item));
    assert_eq!((queue.len(), queue.waiting_tokens()), (0, &[0; 10]));
    assert!(queue.pop().is_none());
}
