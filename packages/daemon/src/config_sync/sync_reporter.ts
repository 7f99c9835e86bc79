/** Receives the log lines and counts of the hosts in this directory. */
export interface SyncReporter {
  log(level: "info" | "warn" | "error", text: string): void;
  /** Adds to a counter, for example `config_sync.applied`. */
  count(counter: string, amount: number): void;
}
