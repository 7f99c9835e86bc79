/** Receives log messages and counts of config sync and membership. */
export interface SyncReporter {
  log(level: "info" | "warn" | "error", text: string): void;
  /** Adds to a counter such as `config_sync.applied`. */
  count(counter: string, amount: number): void;
}
