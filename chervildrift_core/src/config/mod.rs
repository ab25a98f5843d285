//! Settings of a VM and declarations of the operators.
