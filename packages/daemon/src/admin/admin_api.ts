import type { IncomingMessage, ServerResponse } from "node:http";
import {
  checkBundleFiles,
  ConfigError,
  type Operator,
  StoreConflictError,
  StoreError,
  StoreUnknownOutcomeError,
  toConfigIssues,
} from "@anvildeal/core";
import type { z } from "zod";
import {
  BodyReader,
  callerAddressOf,
  CallerMemory,
  discardBody,
} from "../caller_memory/index.js";
import { ActivationService } from "./activation_service.js";
import { AdminError, conflictError } from "./admin_error.js";
import { adminLogEvent, type AdminLogEventName } from "./admin_log.js";
import {
  type DiffRequestSchema,
  type DigestRequestSchema,
  type HistoryQuerySchema,
  MAX_SMALL_BODY_BYTES,
  type ProposalListQuerySchema,
  type ProposeRequestSchema,
  type RevertRequestSchema,
} from "./admin_requests.js";
import {
  ADMIN_PREFIX,
  type AdminCall,
  type AdminRoute,
  matchPath,
  type RouteMatch,
} from "./admin_routes.js";
import type { AdminServices } from "./admin_services.js";
import { ConfigRepository } from "./config_repository.js";
import { hasRole, OperatorDirectory } from "./operator_directory.js";
import { ProposalService } from "./proposal_service.js";
import { readJsonBody } from "./read_json_body.js";

/** A bundle of 20,000 accounts with routes takes about 16 MB of JSON. */
const DEFAULT_MAX_BUNDLE_BYTES = 24 * 1024 * 1024;

/** A caller that sends more, or longer, misses the response to a refused call. */
const DISCARD_LIMITS = {
  maxBytes: DEFAULT_MAX_BUNDLE_BYTES,
  timeoutMs: 10_000,
};

/** Bound of the account that is used if the options give none. */
const DEFAULT_CALLER_MEMORY_BYTES = 4 * DEFAULT_MAX_BUNDLE_BYTES;

export interface AdminApiOptions {
  /** Maximum size of a request body with a bundle; 24 MiB by default. */
  readonly maxBundleBytes?: number;
  /** Account of what is held for callers; one of its own by default. */
  readonly callerMemory?: CallerMemory;
}

/** A parsed and authorised call. */
interface ParsedCall {
  readonly operator: Operator;
  readonly parameters: Readonly<Record<string, string>>;
  readonly query: unknown;
  readonly body: unknown;
}

/** Handles the requests of the administration API, below `/admin/v1`. */
export class AdminApi {
  readonly #services: AdminServices;
  readonly #maxBundleBytes: number;
  readonly #callerMemory: CallerMemory;
  readonly #directory: OperatorDirectory;
  readonly #proposals: ProposalService;
  readonly #activations: ActivationService;
  readonly #handlers: Record<AdminCall, (call: ParsedCall) => Promise<unknown>>;

  constructor(services: AdminServices, options: AdminApiOptions = {}) {
    this.#services = services;
    this.#maxBundleBytes = options.maxBundleBytes ?? DEFAULT_MAX_BUNDLE_BYTES;
    this.#callerMemory = options.callerMemory ??
      new CallerMemory({
        maxBytes: DEFAULT_CALLER_MEMORY_BYTES,
        onEvict: () => {},
      });
    const repository = new ConfigRepository(services.store);
    this.#directory = new OperatorDirectory(
      repository,
      services.clientKeys,
      services.clock,
      () => this.#log("operators_stale", {}),
    );
    this.#proposals = new ProposalService(
      repository,
      this.#directory,
      services.clock,
      services.fleet,
    );
    this.#activations = new ActivationService(
      repository,
      this.#proposals,
      this.#directory,
      services.clock,
    );
    this.#handlers = this.#createHandlers(repository);
  }

  /** Responds to one request; never rejects. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const { status, value } = await this.#runCall(request);
      sendResponse(response, status, value);
    } catch (error) {
      this.#sendError(request, response, toAdminError(error));
    }
  }

  async #runCall(
    request: IncomingMessage,
  ): Promise<{ status: number; value: unknown }> {
    const url = new URL(request.url ?? "/", "http://localhost");
    const { route, parameters } = findRoute(request.method ?? "GET", url);
    const operator = await this.#authorize(request, route);
    const query = Object.fromEntries(url.searchParams);
    const maxBytes = route.largeBody
      ? this.#maxBundleBytes
      : MAX_SMALL_BODY_BYTES;
    const call = {
      operator,
      parameters,
      query: parse(route.query, query, "query"),
      body: route.body &&
        parse(route.body, await this.#readBody(request, maxBytes), "body"),
    };
    const value = await this.#handlers[route.call](call);
    return { status: route.successStatus, value };
  }

  async #readBody(
    request: IncomingMessage,
    maxBytes: number,
  ): Promise<unknown> {
    const address = callerAddressOf(request.socket);
    const holding = this.#callerMemory.open(address, () => reader.cancel());
    const reader = new BodyReader(request, { maxBodyBytes: maxBytes, holding });
    try {
      return await readJsonBody(reader, maxBytes);
    } finally {
      holding.close();
    }
  }

  async #authorize(
    request: IncomingMessage,
    route: AdminRoute,
  ): Promise<Operator> {
    const operator = await this.#directory.authenticate(
      request.headers.authorization,
      !route.needsStore,
    );
    if (!hasRole(operator, route.roles)) {
      throw new AdminError(
        403,
        "forbidden",
        `${operator.name} lacks the role for this call; it needs one of: ` +
          `${[...route.roles, "admin"].join(", ")}.`,
      );
    }
    return operator;
  }

  #createHandlers(
    repository: ConfigRepository,
  ): Record<AdminCall, (call: ParsedCall) => Promise<unknown>> {
    const { fleet, explain, fleetReports } = this.#services;
    return {
      propose: (call) => this.#propose(call),
      diff: async ({ body }) => {
        const { files } = body as z.infer<typeof DiffRequestSchema>;
        const bundle = checkBundleFiles(files);
        const { version, diff, lines } = await this.#proposals.compare(bundle);
        return { in_force_version: version, diff, lines };
      },
      list_proposals: async ({ query }) => {
        const page = query as z.infer<typeof ProposalListQuerySchema>;
        const proposals = await this.#proposals.list(page.limit, page.after);
        return { proposals };
      },
      show_proposal: async ({ parameters }) =>
        (await this.#proposals.get(parameters.id)).value,
      review: ({ parameters }) => this.#proposals.review(parameters.id),
      sign_off: (call) => this.#signOff(call),
      activate: (call) => this.#activate(call),
      revert: async ({ body, operator }) => {
        const { version, note } = body as z.infer<typeof RevertRequestSchema>;
        const proposal = await this.#proposals.revert(version, note, operator);
        this.#logProposed(proposal.id, operator);
        return proposal;
      },
      history: async ({ query }) => {
        const { limit, before } = query as z.infer<typeof HistoryQuerySchema>;
        return { versions: await this.#activations.history(limit, before) };
      },
      status: () => this.#status(repository, fleet.status()),
      explain: async ({ parameters }) => {
        const id = parameters.request_id;
        return requireFound(
          await explain.explain(id),
          `no record of request ${id}`,
        );
      },
      drain: (call) => this.#drain(call),
      report: async ({ parameters: { name } }) =>
        requireFound(await fleetReports.report(name), `no report ${name}`),
    };
  }

  async #propose({ body, operator }: ParsedCall): Promise<unknown> {
    const request = body as z.infer<typeof ProposeRequestSchema>;
    const proposal = await this.#proposals.propose({
      bundle: checkBundleFiles(request.files),
      note: request.note,
      basedOnVersion: request.based_on_version,
    }, operator);
    this.#logProposed(proposal.id, operator);
    return proposal;
  }

  async #signOff({ parameters, body, operator }: ParsedCall): Promise<unknown> {
    const { digest } = body as z.infer<typeof DigestRequestSchema>;
    const { id } = parameters;
    const proposal = await this.#proposals.signOff(id, digest, operator);
    this.#log("signed_off", { proposal_id: id, digest, by: operator.name });
    return proposal;
  }

  async #activate(
    { parameters, body, operator }: ParsedCall,
  ): Promise<unknown> {
    const { digest } = body as z.infer<typeof DigestRequestSchema>;
    const { id } = parameters;
    const version = await this.#activations.activate(id, digest, operator);
    this.#log("activated", {
      proposal_id: id,
      version: version.version,
      by: operator.name,
    });
    return version;
  }

  async #status(
    repository: ConfigRepository,
    fleet: unknown,
  ): Promise<unknown> {
    try {
      const active = await repository.readActive();
      return { store: "ok", active: active?.value ?? null, fleet };
    } catch (error) {
      if (error instanceof StoreError) {
        return { store: "unavailable", active: null, fleet };
      }
      throw error;
    }
  }

  async #drain({ parameters, operator }: ParsedCall): Promise<unknown> {
    const id = parameters.endpoint_id;
    this.#log("drain_requested", { endpoint_id: id, by: operator.name });
    const result = await this.#services.drain(id, operator.name);
    if (result === "unknown_endpoint") {
      throw new AdminError(404, "not_found", `There is no endpoint ${id}.`);
    }
    if (result === "unreachable") {
      throw new AdminError(
        503,
        "endpoint_unreachable",
        `Endpoint ${id} did not answer, so it may not be draining. ` +
          "Look at the status and drain it again.",
      );
    }
    return { endpoint_id: id, state: "draining" };
  }

  #logProposed(id: string, operator: Operator): void {
    this.#log("proposed", { proposal_id: id, by: operator.name });
  }

  #log(name: AdminLogEventName, fields: Record<string, unknown>): void {
    this.#services.log(adminLogEvent(name, fields));
  }

  #sendError(
    request: IncomingMessage,
    response: ServerResponse,
    error: AdminError,
  ): void {
    this.#log(logNameOf(error), {
      method: request.method,
      path: request.url?.split("?")[0],
      status: error.status,
      code: error.code,
      message: error.message,
    });
    if (error.status === 401) {
      response.setHeader("WWW-Authenticate", "Bearer");
    }
    discardBody(request, DISCARD_LIMITS);
    const { code, message, issues } = error;
    const body = { code, message, ...(issues === undefined ? {} : { issues }) };
    sendResponse(response, error.status, { error: body });
  }
}

function findRoute(method: string, url: URL): RouteMatch {
  const matches = url.pathname.startsWith(`${ADMIN_PREFIX}/`)
    ? matchPath(url.pathname.slice(ADMIN_PREFIX.length))
    : [];
  if (matches.length === 0) {
    throw new AdminError(
      404,
      "not_found",
      `There is no call ${url.pathname}; see docs/openapi.json.`,
    );
  }
  const match = matches.find(({ route }) => route.method === method);
  if (match === undefined) {
    const allowed = matches.map(({ route }) => route.method).join(", ");
    throw new AdminError(
      405,
      "method_not_allowed",
      `${url.pathname} allows only ${allowed}.`,
    );
  }
  return match;
}

function parse(schema: z.ZodType, value: unknown, part: string): unknown {
  const parsed = schema.safeParse(value);
  if (!parsed.success) {
    throw new AdminError(
      400,
      "bad_request",
      `The ${part} of the request is not valid.`,
      toConfigIssues(parsed.error, value, part),
    );
  }
  return parsed.data;
}

function requireFound(value: unknown, missing: string): unknown {
  if (value === undefined) {
    throw new AdminError(404, "not_found", `There is ${missing}.`);
  }
  return value;
}

function toAdminError(error: unknown): AdminError {
  if (error instanceof AdminError) {
    return error;
  }
  if (error instanceof ConfigError) {
    const message = `The bundle has ${error.issues.length} mistakes.`;
    return new AdminError(400, "invalid_bundle", message, error.issues);
  }
  if (error instanceof StoreConflictError) {
    return conflictError(
      "Another change was made at the same time; try again.",
    );
  }
  if (error instanceof StoreUnknownOutcomeError) {
    return new AdminError(
      504,
      "outcome_unknown",
      "The answer of the object API was lost. Look at the history and the " +
        "proposals before you repeat the call.",
    );
  }
  if (error instanceof StoreError) {
    return new AdminError(
      503,
      "store_unavailable",
      "The object API does not answer, so configuration can be neither read " +
        "nor changed; nothing was written. The fleet continues with the " +
        "version in force. Try again later.",
    );
  }
  return new AdminError(500, "internal", `Internal error: ${String(error)}`);
}

function logNameOf(error: AdminError): AdminLogEventName {
  if (error.code === "outcome_unknown") {
    return "outcome_unknown";
  }
  if (error.status === 401 || error.code === "client_key") {
    return "authentication_failed";
  }
  return error.status >= 500 ? "call_failed" : "call_refused";
}

function sendResponse(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    "Content-Type": "application/json; charset=utf-8",
    "Content-Length": Buffer.byteLength(text),
    "Cache-Control": "no-store",
  });
  response.end(text);
}
