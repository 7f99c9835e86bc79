import { randomUUID } from "node:crypto";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  callService,
  FaultFleet,
  type FaultNode,
  TOKENS,
  until,
} from "./fault_fixture.js";

/** Longer than the 2 s after which a connection counts as silent. */
const SILENCE_TOKENS = 300;

describe("faults behind the router", () => {
  let fleet: FaultFleet;
  let url = "";

  beforeEach(async () => {
    fleet = await new FaultFleet().start();
    url = fleet.addresses[0].http_url;
  });
  afterEach(() => fleet.dispose());

  describe("between router and sidecar", () => {
    const FAULTS: [string, number, (node: FaultNode) => void][] = [
      ["reset", TOKENS, ({ peerProxy }) => peerProxy.resetConnections()],
      ["reset and cut again half-way", TOKENS, ({ peerProxy }) => {
        peerProxy.cutNext({ afterBytes: 2500, direction: "to_client" });
        peerProxy.resetConnections();
      }],
      ["delayed by 300 ms", TOKENS, ({ peerProxy }) => peerProxy.setDelay(300)],
      [
        "silent both ways",
        SILENCE_TOKENS,
        ({ peerProxy }) => peerProxy.stallConnections("both"),
      ],
      [
        "silent towards the sidecar",
        SILENCE_TOKENS,
        ({ peerProxy }) => peerProxy.stallConnections("to_target"),
      ],
      [
        "silent towards the router",
        SILENCE_TOKENS,
        ({ peerProxy }) => peerProxy.stallConnections("to_client"),
      ],
    ];

    // Guards against cut or repeated text and a second execution after a
    // connection was lost.
    it.each(FAULTS)(
      "a stream is whole when %s",
      async (_name, tokens, strike) => {
        const answer = await fleet.streamWith(strike, tokens);
        expect(fleet.modelExecutionsOf(answer)).toBe(1);
      },
    );

    it("an idempotent stream is whole when its sidecar is killed", async () => {
      await fleet.streamWith((node) => fleet.kill(node));
    });

    it("an idempotent stream is whole when its sidecar is replaced", async () => {
      await fleet.streamWith((node) => {
        fleet.kill(node);
        return fleet.restart(node);
      });
    });

    // Guards against a repeat of a call that may have run.
    it.each([undefined, "key-killed"])(
      "a call that runs at a killed sidecar gets unknown (key %s)",
      async (key) => {
        const id = randomUUID();
        for (const { endpoint } of fleet.services) {
          await endpoint.setFaults({ delay_ms: 2000 });
        }
        const call = callService(url, {
          method: "POST",
          headers: {
            "x-execution-id": id,
            ...key !== undefined && { "idempotency-key": key },
          },
          body: "approve",
        });
        await until("the call runs", () => fleet.serviceExecutions(id) === 1);
        const node = fleet.services.find(({ endpoint }) =>
          endpoint.executions.startedCount(id) === 1
        );
        fleet.kill(node!);
        const answer = await call;
        expect(answer.status).toBe(502);
        expect(answer.headers.get("anvildeal-outcome")).toBe("unknown");
        expect(answer.headers.get("retry-after")).toBeTruthy();
        expect(fleet.serviceExecutions(id)).toBe(1);
      },
    );
  });
});
