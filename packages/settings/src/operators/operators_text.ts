/** Parser of the operators' configuration. */
import {
  type DataCentreId,
  MarigoldpostError,
  type ModelId,
  type ServiceId,
  type TargetId,
  type TeamId,
  toId,
} from '@marigoldpost/common';
import {IniDocument} from '../ini/ini_document.js';
import {
  renderTextProblem,
  type TextProblem,
  TextProblems,
} from '../ini/text_problem.js';
import {OperatorsChecks} from './operators_checks.js';
import type {
  FleetConfig,
  LimitConfig,
  OperatorsConfig,
  ServiceConfig,
  TargetConfig,
  TeamConfig,
} from './operators_config.js';
import {
  type OperatorsSections,
  readOperatorsSections,
  type ServiceSection,
} from './operators_sections.js';

/** Result of parsing: problems or a configuration. */
export interface OperatorsTextReading {
  /** Problems in line order; empty when the configuration is valid. */
  readonly problems: readonly TextProblem[];
  /** The configuration; undefined when there are problems. */
  readonly config: OperatorsConfig | undefined;
}

/**
 * Parses the operators' configuration and collects all problems; does not
 * throw.
 * @param text - INI text.
 */
export function readOperatorsText(text: string): OperatorsTextReading {
  const problems = TextProblems.create();
  const document = IniDocument.parse(text, problems);
  const sections = readOperatorsSections(document, problems);
  OperatorsChecks.run(sections, problems);
  const all = problems.getAll();
  const config = all.length === 0 ? toConfig(sections) : undefined;
  return {problems: all, config};
}

/**
 * Parses the operators' configuration; throws `config_invalid` that lists all
 * problems.
 * @param text - INI text.
 */
export function parseOperatorsText(text: string): OperatorsConfig {
  const {problems, config} = readOperatorsText(text);
  if (config !== undefined) return config;
  const shown = problems.map(renderTextProblem).join('\n');
  throw MarigoldpostError.create(
    'config_invalid',
    `the operators' configuration is not valid:\n${shown}`,
  );
}

function toConfig(sections: OperatorsSections): OperatorsConfig | undefined {
  if (sections.fleet === undefined) return undefined;
  const dataCentres = sections.dataCentres.map(({name, values}) => ({
    id: toId<DataCentreId>(name),
    region: values.region,
    isDown: values.is_down,
  }));
  const services = sections.services.map((service) =>
    toService(service, sections),
  );
  const operators = sections.operators.map(({name, values}) => ({
    name,
    keyHashes: values.key_hashes,
  }));
  return {
    fleet: toFleet(sections.fleet),
    dataCentres: new Map(dataCentres.map((entry) => [entry.id, entry])),
    services: new Map(services.map((entry) => [entry.id, entry])),
    teams: new Map(sections.teams.map(toTeam).map((team) => [team.id, team])),
    operators: new Map(operators.map((entry) => [entry.name, entry])),
  };
}

function toFleet(values: NonNullable<OperatorsSections['fleet']>): FleetConfig {
  return {
    partitionsPerDataCentre: values.partitions_per_data_centre,
    leaseMs: values.lease_ms,
    heartbeatMs: values.heartbeat_ms,
    maxUncommittedBytes: values.max_uncommitted_bytes,
    cacheWeight: values.cache_weight,
    quarantineAfterDeaths: values.quarantine_after_deaths,
  };
}

interface LimitValues {
  readonly max_in_flight?: number;
  readonly requests_per_second?: number;
  readonly tokens_per_second?: number;
}

function toLimit(values: LimitValues): LimitConfig {
  return {
    maxInFlight: values.max_in_flight,
    requestsPerSecond: values.requests_per_second,
    tokensPerSecond: values.tokens_per_second,
  };
}

function toService(
  {name, values}: ServiceSection,
  sections: OperatorsSections,
): ServiceConfig {
  const base = {
    id: toId<ServiceId>(name),
    targets: getTargets(name, sections),
    discoverPrefix: values.discover_prefix,
    dependsOn: (values.depends_on ?? []).map((id) => toId<ServiceId>(id)),
    limit: toLimit(values),
    limitShares: toShares(values.limit_shares, sections),
    timeoutMs: values.timeout_ms,
    checksFencing: values.checks_fencing,
  };
  if (values.kind === 'engine') {
    return {
      ...base,
      kind: 'engine',
      models: values.models.map((id) => toId<ModelId>(id)),
      keepsAbandonedStreams: values.keeps_abandoned_streams,
    };
  }
  return {
    ...base,
    kind: 'plain',
    isIdempotent: values.is_idempotent,
    deduplicatesByKey: values.deduplicates_by_key,
  };
}

function toShares(
  shares: ReadonlyMap<string, number> | undefined,
  {dataCentres}: OperatorsSections,
): ReadonlyMap<DataCentreId, number> {
  const equalShare = 1 / dataCentres.length;
  return new Map(
    dataCentres.map(({name}) => [
      toId<DataCentreId>(name),
      shares === undefined ? equalShare : (shares.get(name) ?? 0),
    ]),
  );
}

function getTargets(
  service: string,
  {targets}: OperatorsSections,
): TargetConfig[] {
  return targets
    .filter(({values}) => values.service === service)
    .map(({name, values}) => ({
      id: toId<TargetId>(name),
      dataCentre: toId<DataCentreId>(values.data_centre),
      address: values.address,
    }));
}

function toTeam({
  name,
  values,
}: OperatorsSections['teams'][number]): TeamConfig {
  return {
    id: toId<TeamId>(name),
    isApproved: values.approved,
    keyHashes: values.key_hashes ?? [],
    services: values.services.map((id) => toId<ServiceId>(id)),
    includesDependencies: values.includes_dependencies,
    callClass: values.call_class,
    limit: toLimit(values),
    budget: {
      maxTokens: values.budget_tokens,
      maxCalls: values.budget_calls,
      maxWallMs: values.budget_wall_ms,
    },
  };
}
