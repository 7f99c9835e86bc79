import {
  ConfigVersionSchema,
  type OperatorRole,
  ProposalSchema,
} from "@anvildeal/core";
import type { z } from "zod";
import {
  DiffRequestSchema,
  DigestRequestSchema,
  EmptyRequestSchema,
  HistoryQuerySchema,
  NoQuerySchema,
  ProposalListQuerySchema,
  ProposeRequestSchema,
  RevertRequestSchema,
} from "./admin_requests.js";
import {
  DiffResponseSchema,
  DrainResponseSchema,
  HistoryResponseSchema,
  OpaqueResponseSchema,
  ProposalListResponseSchema,
  ReviewResponseSchema,
  StatusResponseSchema,
} from "./admin_responses.js";

export const ADMIN_PREFIX = "/admin/v1";

/** Names of the calls, which are the operation ids of docs/openapi.json. */
export type AdminCall =
  | "propose"
  | "diff"
  | "list_proposals"
  | "show_proposal"
  | "review"
  | "sign_off"
  | "activate"
  | "revert"
  | "history"
  | "status"
  | "explain"
  | "drain"
  | "report";

export interface AdminRoute {
  readonly call: AdminCall;
  readonly method: "GET" | "POST";
  /** Path below {@link ADMIN_PREFIX}; `{name}` matches one segment. */
  readonly path: string;
  readonly summary: string;
  /** Roles that may make the call; `admin` always may. */
  readonly roles: readonly OperatorRole[];
  /** Whether the call responds with 503 while the object API is unavailable. */
  readonly needsStore: boolean;
  readonly query: z.ZodType;
  readonly body: z.ZodType | undefined;
  /** Whether the body contains a bundle and may be large. */
  readonly largeBody: boolean;
  readonly successStatus: 200 | 201 | 202;
  readonly response: z.ZodType;
}

const EVERY_ROLE = ["viewer", "proposer", "approver", "activator"] as const;

const READ_ROUTE_DEFAULTS = {
  method: "GET",
  roles: EVERY_ROLE,
  needsStore: true,
  query: NoQuerySchema,
  body: undefined,
  largeBody: false,
  successStatus: 200,
} as const;

const WRITE_ROUTE_DEFAULTS = {
  method: "POST",
  needsStore: true,
  query: NoQuerySchema,
  largeBody: false,
  successStatus: 200,
} as const;

export const ADMIN_ROUTES: readonly AdminRoute[] = [
  {
    ...WRITE_ROUTE_DEFAULTS,
    call: "propose",
    path: "/proposals",
    summary: "Checks a bundle and stores it as a proposal.",
    roles: ["proposer"],
    body: ProposeRequestSchema,
    largeBody: true,
    successStatus: 201,
    response: ProposalSchema,
  },
  {
    ...WRITE_ROUTE_DEFAULTS,
    call: "diff",
    path: "/diff",
    summary: "Compares a bundle with the one in force; stores nothing.",
    roles: EVERY_ROLE,
    body: DiffRequestSchema,
    largeBody: true,
    response: DiffResponseSchema,
  },
  {
    ...READ_ROUTE_DEFAULTS,
    call: "list_proposals",
    path: "/proposals",
    summary: "Lists proposals, newest first.",
    query: ProposalListQuerySchema,
    response: ProposalListResponseSchema,
  },
  {
    ...READ_ROUTE_DEFAULTS,
    call: "show_proposal",
    path: "/proposals/{id}",
    summary: "Shows a proposal and its sign-off.",
    response: ProposalSchema,
  },
  {
    ...READ_ROUTE_DEFAULTS,
    call: "review",
    path: "/proposals/{id}/review",
    summary: "Compares a proposal with the version in force.",
    response: ReviewResponseSchema,
  },
  {
    ...WRITE_ROUTE_DEFAULTS,
    call: "sign_off",
    path: "/proposals/{id}/sign-off",
    summary: "Approves exactly the content with the given digest.",
    roles: ["approver"],
    body: DigestRequestSchema,
    response: ProposalSchema,
  },
  {
    ...WRITE_ROUTE_DEFAULTS,
    call: "activate",
    path: "/proposals/{id}/activate",
    summary: "Makes a signed-off proposal the version in force.",
    roles: ["activator"],
    body: DigestRequestSchema,
    response: ConfigVersionSchema,
  },
  {
    ...WRITE_ROUTE_DEFAULTS,
    call: "revert",
    path: "/revert",
    summary: "Proposes the content of an earlier version again.",
    roles: ["proposer"],
    body: RevertRequestSchema,
    successStatus: 201,
    response: ProposalSchema,
  },
  {
    ...READ_ROUTE_DEFAULTS,
    call: "history",
    path: "/history",
    summary: "Lists accepted versions, newest first, with who and when.",
    query: HistoryQuerySchema,
    response: HistoryResponseSchema,
  },
  {
    ...READ_ROUTE_DEFAULTS,
    call: "status",
    path: "/status",
    summary: "Shows what this router knows of the fleet.",
    needsStore: false,
    response: StatusResponseSchema,
  },
  {
    ...READ_ROUTE_DEFAULTS,
    call: "explain",
    path: "/explain/{request_id}",
    summary: "Explains how this router placed and answered a request.",
    needsStore: false,
    response: OpaqueResponseSchema,
  },
  {
    ...WRITE_ROUTE_DEFAULTS,
    call: "drain",
    path: "/drain/{endpoint_id}",
    summary: "Asks an endpoint to finish its work and accept no more.",
    roles: ["activator"],
    needsStore: false,
    body: EmptyRequestSchema,
    successStatus: 202,
    response: DrainResponseSchema,
  },
  {
    ...READ_ROUTE_DEFAULTS,
    call: "report",
    path: "/report/{name}",
    summary: "Returns a report, such as `burn`.",
    needsStore: false,
    response: OpaqueResponseSchema,
  },
];

export interface RouteMatch {
  readonly route: AdminRoute;
  readonly parameters: Readonly<Record<string, string>>;
}

/** Finds the routes whose path matches, with any method. */
export function matchPath(path: string): RouteMatch[] {
  return ADMIN_ROUTES.flatMap((route) => {
    const parameters = matchSegments(route.path, path);
    return parameters === undefined ? [] : [{ route, parameters }];
  });
}

function matchSegments(
  pattern: string,
  path: string,
): Record<string, string> | undefined {
  const expected = pattern.split("/");
  const found = path.split("/");
  if (expected.length !== found.length) {
    return undefined;
  }
  const parameters: Record<string, string> = {};
  for (const [index, segment] of expected.entries()) {
    const value = found[index];
    if (!segment.startsWith("{")) {
      if (segment !== value) {
        return undefined;
      }
      continue;
    }
    if (!/^[A-Za-z0-9._~-]{1,128}$/.test(value)) {
      return undefined;
    }
    parameters[segment.slice(1, -1)] = value;
  }
  return parameters;
}
