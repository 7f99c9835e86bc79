import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  CUT_ANSWERS,
  RawServer,
  writeAndReset,
} from "../net/raw_server_fixture.js";
import { InstanceListClient } from "./instance_list_client.js";
import { InstanceListError } from "./instance_list_error.js";
import { SystemTimers } from "./system_timers.js";

const LIST = '{"version":1,"instances":[]}';

describe("InstanceListClient", () => {
  let server: RawServer;
  let client: InstanceListClient;

  beforeEach(async () => {
    server = new RawServer(() => {});
    await server.listen();
    client = new InstanceListClient({
      url: server.url,
      requestTimeoutMs: 1000,
      timers: new SystemTimers(),
    });
  });
  afterEach(async () => {
    await client.dispose();
    server.close();
  });

  // Guards against a list that is shorter or empty because its answer was cut.
  it.each([...CUT_ANSWERS, { ...CUT_ANSWERS[0]!, body: LIST }])(
    "reads no list from an answer that is reset: %j",
    async (cut) => {
      server.answer = (socket) => writeAndReset(socket, cut);
      await expect(client.poll()).rejects.toThrow(InstanceListError);
    },
  );

  it("reads a list without a length that ends in order", async () => {
    server.answer = (socket) => socket.end(`${CUT_ANSWERS[0]!.head}${LIST}`);
    expect(await client.poll()).toMatchObject({ listVersion: 1 });
  });
});
