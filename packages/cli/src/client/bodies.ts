/** Bodies of the operators' HTTP, checked on arrival. */
import * as z from 'zod';

const names = z.array(z.string());
const count = z.number();

/** A text that was accepted. */
export const configTextSchema = z.object({
  version: count,
  text: z.string(),
  author: z.string(),
  why: z.string(),
  at_ms: count,
});

/** One line that differs. */
export const differenceSchema = z.object({
  kind: z.enum(['added', 'removed']),
  line: count,
  text: z.string(),
});

/** Difference from the accepted text. */
export const diffSchema = z.object({
  base_version: count,
  differences: z.array(differenceSchema),
});

/** Accepted changes. */
export const historySchema = z.object({
  changes: z.array(
    z.object({
      version: count,
      author: z.string(),
      why: z.string(),
      at_ms: count,
      hash: z.string(),
      differences: z.array(differenceSchema),
    }),
  ),
});

/** Records of the audit trail. */
export const auditSchema = z.object({
  records: z.array(
    z.object({
      operator: z.string(),
      action: z.string(),
      subject: z.string(),
      at_ms: count,
      why: z.string().optional(),
    }),
  ),
});

const targetSchema = z.object({
  target: z.string(),
  service: z.string(),
  data_centre: z.string(),
  state: z.string(),
  models: names,
  window_size: count.optional(),
  in_flight: count,
  running: count.optional(),
  waiting: count.optional(),
  used_blocks: count.optional(),
  total_blocks: count.optional(),
  age_ms: count,
});

/** Targets. */
export const targetsSchema = z.object({targets: z.array(targetSchema)});

const quarantinedSchema = z.object({
  fingerprint: z.string(),
  targets: names,
  last_death_at_ms: count,
});

/** Quarantined requests. */
export const quarantineSchema = z.object({
  quarantined: z.array(quarantinedSchema),
});

/** A quarantine that was lifted. */
export const liftedSchema = z.object({
  fingerprint: z.string(),
  is_quarantined: z.boolean(),
});

/** The fleet as one daemon sees it. */
export const statusSchema = z.object({
  daemon: z.string(),
  data_centre: z.string(),
  at_ms: count,
  is_ready: z.boolean(),
  is_draining: z.boolean(),
  platform: z.object({
    is_reachable: z.boolean(),
    uncommitted_bytes: count,
    age_ms: count,
  }),
  config_version: count,
  config_hash: z.string(),
  members: z.array(
    z.object({
      daemon: z.string(),
      data_centre: z.string(),
      state: z.string(),
      is_draining: z.boolean(),
      reaches_platform: z.boolean(),
      config_version: count,
      config_hash: z.string(),
      age_ms: count,
    }),
  ),
  partitions: z.array(
    z.object({
      partition: z.string(),
      holder: z.string(),
      epoch: count,
      age_ms: count,
    }),
  ),
  targets: z.array(targetSchema),
  services: z.array(
    z.object({
      service: z.string(),
      kind: z.string(),
      depends_on: names,
      is_available: z.boolean(),
      in_flight: count,
      waiting: count,
      max_in_flight: count.optional(),
    }),
  ),
  teams: z.array(
    z.object({
      team: z.string(),
      is_approved: z.boolean(),
      in_flight: count,
      max_in_flight: count.optional(),
    }),
  ),
  quarantined: z.array(quarantinedSchema),
});

/** The fleet's status. */
export type StatusBody = z.infer<typeof statusSchema>;

/** One program. */
export const programSchema = z.object({
  program: z.string(),
  partition: z.string(),
  team: z.string(),
  parent: z.string().nullable(),
  state: z.string(),
  budget: z.object({max_tokens: count, max_calls: count, max_wall_ms: count}),
  used_tokens: count,
  reserved_tokens: count,
  used_calls: count,
  calls: z.array(
    z.object({
      call: z.string(),
      service: z.string(),
      state: z.string(),
      target: z.string().nullable(),
      wait_ms: count.nullable(),
      prompt_tokens: count,
      cached_tokens: count,
      completion_tokens: count,
      placement_terms: z.record(z.string(), count).nullable(),
    }),
  ),
});

/** A program's body. */
export type ProgramBody = z.infer<typeof programSchema>;

/** A program's history. */
export const messagesSchema = z.object({
  program: z.string(),
  messages: z.array(z.object({role: z.string(), content: z.string()})),
});

/** A refusal. */
export const refusalSchema = z.object({
  error: z.object({
    kind: z.string(),
    message: z.string(),
    outcome: z.enum(['not_run', 'unknown', 'ran']),
    retry_after_ms: z.number().nullable(),
  }),
});
