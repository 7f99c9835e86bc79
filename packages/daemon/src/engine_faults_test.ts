import { randomUUID } from "node:crypto";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { callService, startChat } from "./fault_caller_fixture.js";
import { FaultFleet, type FaultNode } from "./fault_fixture.js";
import { RawServer, UNFRAMED_HEADS } from "./net/raw_server_fixture.js";

/** Time between the answer of an engine and its reset. */
const RESET_DELAY_MS = 20;

const CALLS = 3;

/** Stands for the status of an answer that broke off. */
const BROKEN_OFF = 0;

describe("faults between sidecar and engine", () => {
  let fleet: FaultFleet;
  let url = "";

  beforeEach(async () => {
    fleet = await new FaultFleet().start();
    url = fleet.addresses[0].http_url;
  });
  afterEach(() => fleet.dispose());

  it("a stream is complete when the engine's connection stalls", async () => {
    const answer = await fleet.streamWithFault(({ engineProxy }) =>
      engineProxy.stallConnections("to_client")
    );
    expect(fleet.modelExecutionsOf(answer)).toBe(1);
  });

  it("a stream is complete when the engine's connection is reset", async () => {
    const answer = await fleet.streamWithFault(({ engineProxy }) =>
      engineProxy.resetConnections()
    );
    expect(fleet.modelExecutionsOf(answer)).toBe(1);
  });

  it("a stream is complete when its engine is killed", async () => {
    await fleet.streamWithFault(async ({ endpoint, engineProxy }) => {
      await endpoint.setFaults({ outage: "refuse" });
      await engineProxy.setAccepting(false);
      engineProxy.resetConnections();
    });
  });

  // Guards against calls that fail although another endpoint could run them.
  it("calls go to another endpoint when an engine refuses connections", async () => {
    const [refusing, other] = fleet.services;
    await refusing.engineProxy.setAccepting(false);
    refusing.engineProxy.resetConnections();
    for (let i = 0; i < 6; i++) {
      const id = randomUUID();
      const answer = await callService(url, {
        method: "POST",
        headers: { "x-execution-id": id, "anvildeal-chat": id },
        body: "approve",
      });
      // The body names the reason of a refusal.
      expect({ status: answer.status, body: answer.body }).toMatchObject({
        status: 200,
      });
      expect(answer.headers.get("anvildeal-endpoint")).toBe(other.id);
      expect(fleet.serviceExecutions(id)).toBe(1);
    }
  });

  describe("an engine that resets an answer without a length", () => {
    const servers: RawServer[] = [];
    let runs: number;

    /** Replaces the engines by servers that reset each call after `answer`. */
    async function replace(nodes: FaultNode[], answer: string): Promise<void> {
      runs = 0;
      for (const { engineProxy } of nodes) {
        await engineProxy.setAccepting(false);
        engineProxy.resetConnections();
        const server = new RawServer((socket, path) => {
          if (path === "/health") {
            socket.end("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            return;
          }
          runs += path.startsWith("/v1/cache") ? 0 : 1;
          socket.write(answer);
          setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
        });
        await server.listen(engineProxy.port);
        servers.push(server);
      }
    }

    /** Calls one after the other; none that ran may look complete. */
    async function expectBrokenOff(
      send: () => Promise<{ status: number }>,
    ): Promise<void> {
      for (let i = 0; i < CALLS; i++) {
        const runsBefore = runs;
        const status = await send().then(
          (answer) => answer.status,
          () => BROKEN_OFF,
        );
        expect([BROKEN_OFF, 502, runs === runsBefore ? 503 : 502])
          .toContain(status);
      }
      expect(runs).toBeGreaterThan(0);
    }

    afterEach(() => servers.splice(0).forEach((server) => server.close()));

    // Guards against a 200 with an empty or short body that looks whole.
    describe.each(UNFRAMED_HEADS)("after the head %j", (head) => {
      it.each(["", '{"a"'])("breaks off plain calls after %j", async (body) => {
        await replace(fleet.services, head + body);
        await expectBrokenOff(() =>
          callService(url, { method: "POST", body: "x" })
        );
      });

      it.each(["", '{"a"'])("breaks off chats after %j", async (body) => {
        await replace(fleet.models, head + body);
        await expectBrokenOff(async () => {
          const response = await startChat(url, randomUUID(), 1, false);
          await response.text();
          return response;
        });
      });
    });
  });
});
