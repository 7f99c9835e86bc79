import {
  ActivePointerSchema,
  CHANGE_KINDS,
  ConfigVersionSchema,
  ProposalSchema,
} from "@anvildeal/core";
import { z } from "zod";

const DiffSchema = z.object({
  changes: z.array(z.object({
    kind: z.enum(CHANGE_KINDS),
    name: z.string(),
    change: z.enum(["added", "removed", "changed"]),
    /**
     * `before` is omitted when the earlier bundle lacks the key, and `after`
     * when the later bundle lacks it.
     */
    fields: z.array(z.object({
      key: z.string(),
      before: z.unknown().optional(),
      after: z.unknown().optional(),
    })),
  })),
  effect: z.object({
    accounts: z.array(z.string()),
    pools: z.array(z.string()),
    services: z.array(z.string()),
    traffic_share: z.number().min(0).max(1),
    traffic_basis: z.enum(["measured", "configured_limits"]),
  }),
});

const bundleComparisonFields = {
  in_force_version: z.int().nonnegative(),
  diff: DiffSchema,
  lines: z.array(z.string()),
};

export const DiffResponseSchema = z.object(bundleComparisonFields);

export const ReviewResponseSchema = z.object({
  proposal: ProposalSchema,
  is_current: z.boolean(),
  ...bundleComparisonFields,
});

export const ProposalListResponseSchema = z.object({
  proposals: z.array(ProposalSchema),
});

export const HistoryResponseSchema = z.object({
  versions: z.array(ConfigVersionSchema),
});

export const StatusResponseSchema = z.object({
  store: z.enum(["ok", "unavailable"]),
  active: ActivePointerSchema.nullable(),
  fleet: z.unknown(),
});

export const DrainResponseSchema = z.object({
  endpoint_id: z.string(),
  state: z.literal("draining"),
});

/** Response whose JSON schema is defined by another module. */
export const OpaqueResponseSchema = z.unknown();

export const ErrorResponseSchema = z.object({
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
