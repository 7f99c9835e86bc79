import type {
  Clock,
  DirectEvent,
  EndpointRecord,
  Millis,
  ServiceVersions,
} from "@anvildeal/core";
import type { Logger } from "../logging/index.js";
import type { Disposable } from "../net/index.js";
import type { Collection } from "./collection.js";

/**
 * A call without an answer for this long may be on a silent connection, so that the
 * next one no longer waits for it.
 */
const HELD_UP_MS: Millis = 400;

/**
 * Time limit of a call. The answer to a process that has just started is late;
 * more than two calls at a time would take connections that others need.
 */
const CALL_TIMEOUT_MS: Millis = 2 * HELD_UP_MS;

export interface VersionCheckOptions {
  readonly endpoints: Collection<EndpointRecord>;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly push: (event: DirectEvent) => void;
}

/**
 * Reads from the directory which software versions serve. Requests that come
 * while a call is in progress share the next one, since its answer may be older
 * than they are. That one begins when the call ends or is held up.
 */
export class VersionCheck implements Disposable {
  readonly #options: VersionCheckOptions;
  readonly #disposed = new AbortController();
  #waiting: number[] = [];
  #isCalling = false;

  constructor(options: VersionCheckOptions) {
    this.#options = options;
  }

  /** Reads for a request; the result is an event `versions_checked`. */
  check(key: number): void {
    this.#waiting.push(key);
    if (!this.#isCalling) {
      void this.#run();
    }
  }

  dispose(): void {
    this.#disposed.abort();
  }

  async #run(): Promise<void> {
    this.#isCalling = true;
    while (this.#waiting.length > 0) {
      const keys = this.#waiting;
      this.#waiting = [];
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, HELD_UP_MS);
        void this.#answer(keys).finally(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    this.#isCalling = false;
  }

  async #answer(keys: readonly number[]): Promise<void> {
    const services = await this.#read();
    const nowMs = this.#options.clock.nowMs();
    for (const key of keys) {
      this.#options.push({
        type: "versions_checked",
        nowMs,
        key,
        ...(services ? { services } : {}),
      });
    }
  }

  async #read(): Promise<ServiceVersions[] | undefined> {
    const { endpoints, logger } = this.#options;
    try {
      const { upserts } = await endpoints.list(
        AbortSignal.any([
          this.#disposed.signal,
          AbortSignal.timeout(CALL_TIMEOUT_MS),
        ]),
      );
      return versionsOf(upserts);
    } catch (error) {
      if (!this.#disposed.signal.aborted) {
        logger.log("directory_call_failed", {
          label: "versions",
          call: "list",
          detail: error instanceof Error ? error.message : String(error),
        });
      }
      return undefined;
    }
  }
}

function versionsOf(records: readonly EndpointRecord[]): ServiceVersions[] {
  const versionsByService = new Map<string, Set<string>>();
  for (const { service, softwareVersion } of records) {
    const versions = versionsByService.get(service) ?? new Set();
    versionsByService.set(service, versions.add(softwareVersion ?? ""));
  }
  return [...versionsByService].map(([service, versions]) => ({
    service,
    versions: [...versions].sort(),
  }));
}
