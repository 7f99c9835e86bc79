import type { RouterSettings } from "@anvildeal/core";
import { accountBytes } from "../caller_memory/index.js";

/** Share of the machine's memory that a router may hold for callers. */
const SHARE_OF_MACHINE = 0.2;

/** Memory if the settings do not say how much memory the machine has. */
const DEFAULT_BYTES = 64 * 1024 * 1024;

/** The account has room for a bundle of 24 MiB at the administration port. */
const MIN_ACCOUNT_BYTES = 32 * 1024 * 1024;

/** Returns the bound of the account of what a router holds for its callers. */
export function callerMemoryBytes(
  { caller_memory_bytes, machine_memory_bytes, max_body_bytes }:
    RouterSettings["router"],
): number {
  const bytes = caller_memory_bytes ??
    (machine_memory_bytes === undefined
      ? DEFAULT_BYTES
      : Math.floor(SHARE_OF_MACHINE * machine_memory_bytes));
  return Math.max(MIN_ACCOUNT_BYTES, accountBytes(bytes, max_body_bytes));
}
