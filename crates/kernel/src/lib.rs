//! kernel
