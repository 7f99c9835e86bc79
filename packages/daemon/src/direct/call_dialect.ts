import type { IncomingMessage } from "node:http";
import type {
  AnswerHead,
  DirectCall,
  Refusal,
  StartAttempt,
} from "@anvildeal/core";

/** Header names and values in turn, as they stand on the wire. */
export type RawHeaders = readonly string[];

/**
 * Names and formats of the headers that callers, routers and endpoints of a
 * platform exchange. It decides nothing.
 */
export abstract class CallDialect {
  /** Reads what the router needs to know of a call. */
  abstract readCall(request: IncomingMessage, bodyBytes: number): DirectCall;

  /**
   * Event after which the caller wants its stream continued, if it may say so.
   */
  abstract lastEventIdOf(request: IncomingMessage): string | undefined;

  /**
   * Headers of the request to the endpoint: those of the caller without the
   * ones that are the router's to set, and those that the router sets.
   */
  abstract requestHeaders(
    rawHeaders: RawHeaders,
    attempt: StartAttempt,
    resumePoint: string | undefined,
  ): string[];

  /** Reads the head of an endpoint's answer; names are in lower case. */
  abstract readAnswer(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): AnswerHead;

  /** Headers of a refusal that the platform's callers understand. */
  abstract refusalHeaders(
    refusal: Refusal,
    request: IncomingMessage,
  ): Record<string, string>;
}
