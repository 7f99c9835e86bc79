import { readFileSync } from "node:fs";

const BYTES_PER_KIB = 1024;
const BYTES_PER_MB = 1_000_000;
/** `sysconf(_SC_CLK_TCK)` of Linux, the unit of processor time in /proc. */
const TICKS_PER_S = 100;
/**
 * Index of the user time in `/proc/PID/stat`, counted from the first field
 * after the command name in parentheses. The system time follows.
 */
const UTIME_FIELD = 11;

export interface ProcessUsage {
  readonly residentMb: number;
  readonly peakResidentMb: number;
  /** User and system time since the start of the process. */
  readonly processorMs: number;
}

/** Reads the usage from /proc; undefined when the process has ended. */
export function readProcessUsage(pid: number): ProcessUsage | undefined {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[UTIME_FIELD]) + Number(fields[UTIME_FIELD + 1]);
    return {
      residentMb: readMemoryFieldMb(status, "VmRSS"),
      peakResidentMb: readMemoryFieldMb(status, "VmHWM"),
      processorMs: ticks * 1000 / TICKS_PER_S,
    };
  } catch {
    return undefined;
  }
}

/**
 * Returns a field of `/proc/PID/status` in MB, converted from kB; NaN if the
 * field is missing.
 */
function readMemoryFieldMb(status: string, name: string): number {
  const match = new RegExp(`^${name}:\\s+(\\d+) kB$`, "m").exec(status);
  return Number(match?.[1] ?? NaN) * BYTES_PER_KIB / BYTES_PER_MB;
}
