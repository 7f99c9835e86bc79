import {
  type Message,
  ObjectiveSchema,
  type RequestResult,
} from "@anvildeal/core";
import { describe, expect, it } from "vitest";
import { MetricRegistry } from "../metrics/index.js";
import { SystemClock } from "../system_clock.js";
import {
  burnGauges,
  type BurnPeers,
  BurnReporter,
  type BurnServices,
} from "./burn_reporter.js";

const RESULT: RequestResult = {
  account: "wiki",
  pool: "chat",
  elapsedMs: 5,
  available: false,
  reason: "draining",
};

/** Passes messages between reporters; drops those to unknown routers. */
class Network {
  readonly reporters = new Map<string, BurnReporter>();

  addReporter(nodeId: string, others: readonly string[]): BurnReporter {
    const identity = { nodeId } as BurnServices["identity"];
    const peers: BurnPeers = {
      listedRouters: () => others,
      send: (peerId, message) => this.#deliver(nodeId, peerId, message),
    };
    const reporter = new BurnReporter(
      { clock: new SystemClock(), identity },
      peers,
    );
    reporter.setObjectives([
      ObjectiveSchema.parse({
        name: "available",
        indicator: "availability",
        target: 0.9,
      }),
    ]);
    this.reporters.set(nodeId, reporter);
    return reporter;
  }

  #deliver(from: string, to: string, message: Message): void {
    const target = this.reporters.get(to);
    if (message.type === "report_query") {
      target?.handleQuery(from, message);
    } else if (message.type === "report_state") {
      target?.handleReply(from, message);
    }
  }
}

describe("BurnReporter", () => {
  it("sums the events of all routers and names one that does not reply", async () => {
    const network = new Network();
    const first = network.addReporter("r1", ["r2", "gone"]);
    network.addReporter("r2", ["r1"]).record(RESULT);
    first.record({ ...RESULT, available: true });
    const report = await first.report();
    expect(report.rows[0]).toMatchObject({ good: 1, bad: 1 });
    expect(report.missing_routers).toEqual(["gone"]);
  });

  it("exports no series of an objective that was removed", async () => {
    const reporter = new Network().addReporter("r1", []);
    const metrics = new MetricRegistry();
    burnGauges(reporter).forEach((gauge) => metrics.addGauge(gauge));
    reporter.record(RESULT);
    const name = "anvildeal_objective_events";
    expect(await metrics.registry.getSingleMetricAsString(name))
      .toContain('{objective="available",result="bad"} 1');
    reporter.setObjectives([]);
    expect(await metrics.registry.getSingleMetricAsString(name))
      .not.toContain("available");
  });

  it("reports at once when no other router is listed", async () => {
    const report = await new Network().addReporter("r1", []).report();
    expect(report.missing_routers).toEqual([]);
  });
});
