import type { ConfigIssue } from "@anvildeal/core";
import { request } from "undici";
import { z } from "zod";
import { CliError, usageError } from "./cli_error.js";
import { ExitCode } from "./exit_code.js";

/**
 * Long enough for a router to read the object from the store again when the
 * store's answer to a write was lost.
 */
const REQUEST_TIMEOUT_MS = 30_000;

const ErrorSchema = z.object({
  error: z.object({
    code: z.string(),
    message: z.string(),
    issues: z.array(z.object({
      file: z.string(),
      key: z.string(),
      found: z.string(),
      allowed: z.string(),
    })).optional(),
  }),
});

/** Client of a router's administration API. */
export class AdminClient {
  constructor(
    private readonly baseUrl: string,
    private readonly key: string,
  ) {}

  /**
   * Returns the JSON body of a successful answer. Otherwise throws a
   * {@link CliError} with the exit code for the kind of failure.
   */
  get(path: string): Promise<unknown> {
    return this.#call("GET", path, undefined, false);
  }

  /** Sends `body` as JSON; returns and throws as `get` does. */
  post(path: string, body: unknown): Promise<unknown> {
    return this.#call("POST", path, JSON.stringify(body), true);
  }

  /** Like `post`, for a call that changes nothing. */
  query(path: string, body: unknown): Promise<unknown> {
    return this.#call("POST", path, JSON.stringify(body), false);
  }

  async #call(
    method: "GET" | "POST",
    path: string,
    body: string | undefined,
    changesState: boolean,
  ): Promise<unknown> {
    const { status, text } = await this.#send(
      method,
      path,
      body,
      changesState,
    );
    const value = parseJson(text);
    if (status >= 200 && status < 300 && value !== undefined) {
      return value;
    }
    const parsed = ErrorSchema.safeParse(value);
    if (!parsed.success) {
      throw new CliError(
        ExitCode.failed,
        "bad_answer",
        `${this.baseUrl} answered status ${status} without the JSON of the ` +
          "administration API. Check that the URL is a router's admin URL.",
      );
    }
    const { code, message, issues } = parsed.data.error;
    throw new CliError(
      exitCodeOf(status),
      code,
      message,
      issues as
        | ConfigIssue[]
        | undefined,
    );
  }

  async #send(
    method: "GET" | "POST",
    path: string,
    body: string | undefined,
    changesState: boolean,
  ): Promise<{ status: number; text: string }> {
    const url = new URL(`/admin/v1${path}`, this.baseUrl);
    try {
      const answer = await request(url, {
        method,
        headers: {
          authorization: `Bearer ${this.key}`,
          "content-type": "application/json",
        },
        body: body ?? null,
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      return { status: answer.statusCode, text: await answer.body.text() };
    } catch (error) {
      const unknownOutcomeHint = changesState
        ? " The command may have taken effect: check the state first."
        : "";
      throw new CliError(
        ExitCode.unreachable,
        "unreachable",
        `No answer from ${this.baseUrl}: ${
          (error as Error).message
        }. Check the URL and that the router is running.${unknownOutcomeHint}`,
      );
    }
  }
}

/**
 * Returns `url` if it is an HTTP URL. Throws a usage error otherwise, so that a
 * mistyped URL is not reported as an unreachable router.
 */
export function checkAdminUrl(url: string): string {
  if (!/^https?:\/\//.test(url) || !URL.canParse(url)) {
    throw usageError(
      `"${url}" is not an http or https URL such as http://127.0.0.1:9000.`,
    );
  }
  return url;
}

function exitCodeOf(status: number): ExitCode {
  switch (status) {
    case 401:
    case 403:
      return ExitCode.refused;
    case 409:
      return ExitCode.conflict;
    case 503:
      return ExitCode.unreachable;
    default:
      return ExitCode.failed;
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
