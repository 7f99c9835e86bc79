import { HEADER, readSettingsFile } from "@anvildeal/platform";
import {
  call,
  PlatformStandIn,
  settingsFile,
  SettingsFolder,
} from "@anvildeal/platform/stand-ins";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { PassThrough } from "./pass_through.js";

// Guards against a baseline that fails to serve requests: the router would win
// every comparison with such a baseline.
describe("PassThrough", () => {
  let platform: PlatformStandIn;
  let passThrough: PassThrough;
  let port: number;

  beforeEach(async () => {
    platform = new PlatformStandIn();
    await platform.start();
    const file = await settingsFile("edge-1", platform.storeAddress);
    const folder = new SettingsFolder(file.text);
    const settings = readSettingsFile(folder.path);
    folder.remove();
    port = Number(settings.callerAddress.split(":")[1]);
    passThrough = new PassThrough(settings);
    await passThrough.start();
  });

  afterEach(() => {
    passThrough.dispose();
    platform.stop();
  });

  it("forwards the method, path and body of a request unchanged", async () => {
    const result = await call(port, "/write/a?b=c", {
      method: "PUT",
      body: "some text",
    });
    expect(result.status).toBe(200);
    const [received] = platform.appEndpoints.flatMap((endpoint) =>
      endpoint.receivedRequests
    );
    expect(received).toMatchObject({
      method: "PUT",
      path: "/write/a?b=c",
      body: "some text",
    });
  });

  it("sends prompts with a shared part to one engine", async () => {
    for (let i = 0; i < 6; i++) {
      const result = await call(port, "/chat/a", {
        headers: { [HEADER.promptParts]: `aa:500,${i}b:10` },
      });
      expect(result.status).toBe(200);
    }
    const usedEndpoints = platform.poolEndpoints.filter((
      { receivedRequests },
    ) => receivedRequests.length > 0);
    expect(usedEndpoints).toHaveLength(1);
  });

  // Guards against an answer that looks complete because a reset was taken for
  // the end of an answer without a length.
  it("breaks an answer off if the endpoint resets it", async () => {
    for (const endpoint of platform.appEndpoints) {
      endpoint.behaviour = (_request, response) => {
        response.useChunkedEncodingByDefault = false;
        response.writeHead(200, { "Connection": "close" });
        response.write("half", () => response.socket?.resetAndDestroy());
      };
    }
    const result = await call(port, "/write/a", { body: "x" })
      .catch(() => undefined);
    expect(result?.complete && result.status === 200).toBeFalsy();
  });

  it("answers 404 if no route matches", async () => {
    expect((await call(port, "/nowhere")).status).toBe(404);
  });
});
