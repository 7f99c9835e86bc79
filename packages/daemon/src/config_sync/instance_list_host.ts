import { EventEmitter } from "node:events";
import type { Clock, MembershipEffect, MembershipEvent } from "@anvildeal/core";
import type { InstanceListClient } from "./instance_list_client.js";
import type { PeerTransport } from "./peer_transport.js";
import type { SyncReporter } from "./sync_reporter.js";

export interface InstanceListHostEvents {
  /**
   * This router was elected to poll the list and watch the configuration, or is
   * no longer elected.
   */
  electionChanged: [elected: boolean];
  /** The instance should be probed, over a new connection if there is none. */
  probeRequested: [instanceId: string];
}

export interface InstanceListHostOptions {
  readonly client: InstanceListClient;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly reporter: SyncReporter;
  /**
   * Passes an event to the holder of the membership state, which applies
   * `reduceMembership` and passes the returned effects to
   * {@link InstanceListHost.runEffect}.
   */
  readonly dispatch: (event: MembershipEvent) => void;
}

/**
 * Executes the effects that `reduceMembership` returns. The creator of the host
 * holds the membership state and calls the reducer.
 */
export class InstanceListHost extends EventEmitter<InstanceListHostEvents> {
  readonly #options: InstanceListHostOptions;
  #inOutage = false;
  #disposed = false;

  constructor(options: InstanceListHostOptions) {
    super();
    this.#options = options;
  }

  runEffect(effect: MembershipEffect): void {
    if (this.#disposed) {
      return;
    }
    const { reporter, transport } = this.#options;
    switch (effect.type) {
      case "poll_list":
        void this.#poll();
        return;
      case "send":
        transport.send(effect.peerId, effect.message);
        return;
      case "probe_instance":
        this.emit("probeRequested", effect.instanceId);
        return;
      case "election_changed":
        this.emit("electionChanged", effect.elected);
        return;
      case "count":
        reporter.count(`membership.${effect.counter}`, effect.amount);
        return;
      case "log":
        reporter.log(effect.level, effect.text);
        return;
    }
  }

  /** Does not dispose the client, which belongs to the creator of the host. */
  dispose(): void {
    this.#disposed = true;
    this.removeAllListeners();
  }

  async #poll(): Promise<void> {
    const event = await this.#pollOnce();
    if (!this.#disposed) {
      this.#options.dispatch(event);
    }
  }

  async #pollOnce(): Promise<MembershipEvent> {
    const { client, clock, reporter } = this.#options;
    try {
      const list = await client.poll();
      this.#logOutageChange(undefined);
      const nowMs = clock.nowMs();
      if (list === undefined) {
        return { type: "list_not_modified", nowMs };
      }
      const { ignored, instances, listVersion } = list;
      for (const detail of ignored) {
        reporter.log("warn", `instance list: ignored ${detail}`);
      }
      return { type: "list_received", nowMs, instances, listVersion };
    } catch (error) {
      this.#logOutageChange(error);
      return { type: "list_failed", nowMs: clock.nowMs() };
    }
  }

  /** Logs the first failure and the recovery, not each poll of an outage. */
  #logOutageChange(error: unknown): void {
    const inOutage = error !== undefined;
    if (inOutage === this.#inOutage || this.#disposed) {
      return;
    }
    this.#inOutage = inOutage;
    if (inOutage) {
      this.#options.reporter.log("warn", String(error));
    } else {
      this.#options.reporter.log(
        "info",
        "requests for the instance list succeed again",
      );
    }
  }
}
