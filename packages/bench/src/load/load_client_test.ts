import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { LoadClient } from "./load_client.js";
import type { PlannedCall } from "./planned_request.js";

const CALL: PlannedCall = {
  kind: "call",
  atMs: 0,
  account: "a",
  label: "read",
  callId: "call-1",
  method: "GET",
  path: "/services/x/call-1",
  isIdempotent: true,
};

const HEAD = "HTTP/1.1 200 OK\r\n\r\n";

describe("LoadClient", () => {
  let server: Server;
  let client: LoadClient;
  let isReset: boolean;

  beforeEach(async () => {
    server = createServer((socket) => {
      socket.once("data", () => {
        if (isReset) {
          socket.write(HEAD + CALL.callId, () => socket.resetAndDestroy());
        } else {
          socket.end(HEAD + CALL.callId);
        }
      });
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    client = new LoadClient({
      routerUrls: () => [`http://127.0.0.1:${port}`],
      model: "m",
      clientKeys: {},
    });
  });
  afterEach(async () => {
    await client.dispose();
    server.close();
  });

  // Guards against a load tool that hides broken answers: a reset was taken for
  // the end of an answer without a length.
  it.each([
    ["lost", true],
    ["whole", false],
  ])(
    "counts an answer as %s if its connection is reset: %s",
    async (verdict, reset) => {
      isReset = reset;
      expect((await client.send(CALL, performance.now())).verdict)
        .toBe(verdict);
    },
  );
});
