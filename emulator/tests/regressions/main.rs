//! Regression tests of failures, a module each, which run beside each other in one process.

#[path = "../support/mod.rs"]
mod support;

mod answer_cut_in_its_head_looked_complete;
mod cut_head_joined_with_the_next_answer;
mod error_inside_a_broken_stream;
mod idle_connections_left_no_room_for_a_new_one;
mod late_error_of_a_prefill_refused_as_not_run;
mod limit_on_heads_of_open_connections;
mod log_names_no_reason_for_a_refusal;
mod prefill_that_ran_was_refused_as_not_run;
mod ran_request_refused_beside_extra_responses;
mod refusal_repeated_after_another_request;
mod refused_request_ran_around_stops;
mod request_that_ran_taken_for_unsent;
mod scripted_engine;
mod stream_cut_at_a_stray_head_counted_as_whole;
mod whole_answer_without_a_body_taken_as_broken_off;
