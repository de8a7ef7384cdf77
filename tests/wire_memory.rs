//! A message that claims more data than it holds allocates no memory for it.
//!
//! The test runs alone in its process, since it measures the whole address space: the threads of
//! other tests take 4.4 GB of it (0.18 GB with a single allocator arena), which made this test fail
//! under load.
#![cfg(target_os = "linux")]

#[path = "common/fuzz.rs"]
mod fuzz;
#[path = "common/link.rs"]
mod link;

use fuzz::check;
use link::Link;
use proptest::prelude::*;
use winchvane::message::SessionUp;

/// The maximum growth of the address space while short messages are received, including everything
/// else that the test does meanwhile.
const GROWTH_MAX_BYTES: u64 = 1 << 30;

/// A message of a few bytes claims to contain a name of several gigabytes. A decoder that allocates
/// the claimed length before it checks the number of bytes aborts the process if memory is short.
#[test]
fn a_claimed_length_without_data_allocates_no_memory() {
    let peak_bytes = || -> u64 {
        let status =
            std::fs::read_to_string("/proc/self/status").expect("/proc/self/status can be read");
        let line =
            status.lines().find(|line| line.starts_with("VmPeak:")).expect("VmPeak is listed");
        let kilobytes = line.split_whitespace().nth(1).expect("VmPeak has a value");
        kilobytes.parse::<u64>().expect("the value is a number") << 10
    };
    let link = Link::new::<SessionUp>();
    let before_bytes = peak_bytes();
    check(30..63_u32, |power| {
        // `Release` (variant 3), whose first field is a name; 253 marks an integer of 8 bytes.
        let body = [&[3, 253][..], &(1_u64 << power).to_le_bytes(), b"abc"].concat();
        let detail = link.send_body(&body).expect_err("the name is missing");
        prop_assert!(detail.contains("receive"), "{}", detail);
        let growth_bytes = peak_bytes() - before_bytes;
        prop_assert!(growth_bytes < GROWTH_MAX_BYTES, "{} bytes were allocated", growth_bytes);
        Ok(())
    });
}
