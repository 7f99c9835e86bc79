import { randomUUID } from "node:crypto";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { callService } from "./fault_caller_fixture.js";
import {
  FaultFleet,
  type FaultNode,
  STREAM_TOKENS,
  waitUntil,
} from "./fault_fixture.js";

/** Tokens of a stream that lasts longer than the stall timeout of 2 s. */
const STALL_TOKENS = 300;

describe("faults between router and endpoint", () => {
  let fleet: FaultFleet;
  let url = "";

  beforeEach(async () => {
    fleet = await new FaultFleet().start();
    url = fleet.addresses[0].http_url;
  });
  afterEach(() => fleet.dispose());

  describe("between router and sidecar", () => {
    const FAULTS: [string, number, (node: FaultNode) => void][] = [
      ["reset", STREAM_TOKENS, ({ peerProxy }) => peerProxy.resetConnections()],
      [
        "reset and cut again during the resumption",
        STREAM_TOKENS,
        ({ peerProxy }) => {
          peerProxy.cutNextConnections({
            afterBytes: 2500,
            direction: "to_client",
          });
          peerProxy.resetConnections();
        },
      ],
      [
        "delayed by 300 ms",
        STREAM_TOKENS,
        ({ peerProxy }) => peerProxy.setDelay(300),
      ],
      [
        "stalled in both directions",
        STALL_TOKENS,
        ({ peerProxy }) => peerProxy.stallConnections("both"),
      ],
      [
        "stalled towards the sidecar",
        STALL_TOKENS,
        ({ peerProxy }) => peerProxy.stallConnections("to_target"),
      ],
      [
        "stalled towards the router",
        STALL_TOKENS,
        ({ peerProxy }) => peerProxy.stallConnections("to_client"),
      ],
    ];

    // Guards against missing or duplicated text and a second execution after
    // the connection to the sidecar fails.
    it.each(FAULTS)(
      "a stream is complete when its connection is %s",
      async (_name, tokens, injectFault) => {
        const answer = await fleet.streamWithFault(injectFault, tokens);
        expect(fleet.modelExecutionsOf(answer)).toBe(1);
      },
    );

    it("an idempotent stream is complete when its sidecar is killed", async () => {
      await fleet.streamWithFault((node) => fleet.kill(node));
    });

    it("an idempotent stream is complete when its sidecar is replaced", async () => {
      await fleet.streamWithFault((node) => {
        fleet.kill(node);
        return fleet.restart(node);
      });
    });

    // Guards against a retry of a call that may have run.
    it.each([undefined, "key-killed"])(
      "a call gets the outcome unknown when its sidecar is killed (key %s)",
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
        await waitUntil(
          "the call runs",
          () => fleet.serviceExecutions(id) === 1,
        );
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
