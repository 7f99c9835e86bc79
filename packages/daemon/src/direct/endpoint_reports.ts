import {
  type Clock,
  type DirectEvent,
  type LimitReport,
  type Message,
  type Millis,
  olderReport,
  reportKeyOf,
  type SuspectReport,
} from "@anvildeal/core";
import type { Disposable } from "../net/index.js";
import { SharedRecordExchange } from "./shared_record_exchange.js";

export interface EndpointReportsOptions {
  readonly clock: Clock;
  readonly push: (event: DirectEvent) => void;
  /** Limits that endpoints name, as this router knows them. */
  readonly limits: () => readonly LimitReport[];
  /** Under which requests endpoints crashed, as this router knows it. */
  readonly suspects: () => readonly SuspectReport[];
  readonly connectedCount: () => number;
  /** Routers to which reports of another router are passed on. */
  readonly relayTargets: () => readonly string[];
  readonly broadcast: (message: Message) => void;
  readonly sendTo: (nodeId: string, message: Message) => void;
}

/** Exchanges with the connected routers what routers learn of endpoints. */
export class EndpointReports implements Disposable {
  readonly #options: EndpointReportsOptions;
  readonly #suspects: SharedRecordExchange<SuspectReport>;
  readonly #limits: SharedRecordExchange<LimitReport>;

  constructor(options: EndpointReportsOptions) {
    this.#options = options;
    this.#suspects = this.#createExchange({
      olderBy: olderReport,
      keyOf: reportKeyOf,
      all: options.suspects,
      toMessage: (suspects) => ({ type: "fleet_suspects", suspects }),
    });
    this.#limits = this.#createExchange({
      olderBy: (limit) => limit,
      keyOf: ({ endpointId }) => endpointId,
      all: options.limits,
      toMessage: (limits) => ({ type: "fleet_limits", limits }),
    });
  }

  /**
   * Tells the connected routers about limits that endpoints name. They do not pass
   * them on: a router learns the limit from its first answer at the latest.
   */
  shareLimits(limits: readonly LimitReport[]): void {
    this.#limits.share(limits);
  }

  /**
   * Tells other routers about prompt parts and requests under which endpoints
   * crashed.
   *
   * @param isOwn Whether this router found them; otherwise they are passed on.
   */
  shareSuspects(suspects: readonly SuspectReport[], isOwn: boolean): void {
    if (isOwn) {
      this.#suspects.share(suspects);
    } else {
      this.#suspects.relay(suspects);
    }
  }

  /** Sends all reports to a router that connected. */
  handleConnect(nodeId: string): void {
    this.#suspects.handleConnect(nodeId);
    this.#limits.handleConnect(nodeId);
  }

  receiveLimits(nodeId: string, reports: readonly LimitReport[]): void {
    this.#options.push({
      type: "limits_received",
      nowMs: this.#options.clock.nowMs(),
      reports,
      source: `peer ${nodeId}`,
    });
  }

  receiveSuspects(nodeId: string, reports: readonly SuspectReport[]): void {
    this.#options.push({
      type: "suspects_received",
      nowMs: this.#options.clock.nowMs(),
      reports,
      source: `peer ${nodeId}`,
    });
  }

  dispose(): void {
    this.#suspects.dispose();
    this.#limits.dispose();
  }

  #createExchange<R>(
    { toMessage, ...records }: ReportKind<R>,
  ): SharedRecordExchange<R> {
    const { broadcast, clock, connectedCount, relayTargets, sendTo } =
      this.#options;
    return new SharedRecordExchange({
      ...records,
      clock,
      connectedCount,
      relayTargets,
      broadcast: (reports) => broadcast(toMessage([...reports])),
      sendTo: (nodeId, reports) => sendTo(nodeId, toMessage([...reports])),
    });
  }
}

interface ReportKind<R> {
  readonly keyOf: (report: R) => string;
  readonly olderBy: (report: R, elapsedMs: Millis) => R;
  readonly all: () => readonly R[];
  readonly toMessage: (reports: R[]) => Message;
}
