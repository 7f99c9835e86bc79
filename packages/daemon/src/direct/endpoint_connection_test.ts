import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { RawServer, UNFRAMED_HEADS } from "../net/raw_server_fixture.js";
import { EndpointConnection } from "./endpoint_connection.js";

describe("EndpointConnection", () => {
  let server: RawServer;

  beforeEach(async () => {
    server = new RawServer((socket) => socket.write(`${UNFRAMED_HEADS[0]}a`));
    await server.listen();
  });
  afterEach(() => server.close());

  // Guards against an exception of undici, which took the closed socket for the end
  // of an answer without a length and cannot end one that is paused.
  it("fails a paused answer when it is destroyed", async () => {
    const connection = new EndpointConnection(
      new URL(server.url).host,
      () => {},
    );
    const error = await new Promise<Error | undefined>((resolve) => {
      connection.dispatch({ path: "/", method: "GET" }, {
        onRequestStart: () => {},
        onResponseStart: () => {},
        onResponseData: (controller) => {
          controller.pause();
          setImmediate(() => connection.destroy());
        },
        onResponseEnd: () => resolve(undefined),
        onResponseError: (_controller, reason) => resolve(reason),
      });
    });
    expect(error?.message).toBe("connection to the endpoint was closed");
  });
});
