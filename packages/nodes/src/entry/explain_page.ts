/** Page of an entry VM that tells where a request would go now. */
import {MarigoldpostError, type ServiceId, toId} from '@marigoldpost/common';
import type {PlacementExplanation} from '@marigoldpost/dispatch';
import {
  createErrorResponse,
  type Page,
  type SiteState,
} from '@marigoldpost/gateway';
import type {
  PromptPart,
  PromptPartId,
  Route,
  Tenant,
} from '@marigoldpost/sites';

/** Path of the page on the address of the metrics page. */
export const explainPath = '/explain';

const okStatus = 200;
const contentType = 'application/json';
const noTargets: PlacementExplanation = {
  usesLearnedCosts: false,
  isDrawn: false,
  outcome: 'no_target',
  chosen: undefined,
  targets: [],
};
const wholeNumber = /^\d{1,9}$/;

/** Placement at one of the services that a route shares its requests among. */
export interface ServiceExplanation extends PlacementExplanation {
  readonly service: ServiceId;
  /** Probability that a request of the route goes to the service. */
  readonly share: number;
}

/** Where a request would go now, as one entry VM knows it. */
export interface RequestExplanation {
  readonly configVersion: number;
  readonly route: string;
  /** `undefined` if no tenant was named. */
  readonly tenant: string | undefined;
  readonly tenantPriority: number | undefined;
  readonly services: readonly ServiceExplanation[];
}

/**
 * Creates the page for a request that is described by `host`, `path`, and
 * optionally `prompt` (`ID:TOKENS,...`), `output` (tokens) and `tenant`. A
 * request that cannot be explained gets an error body.
 * @param site - Configuration and targets in force.
 * @param nowMs - Time on the daemon's clock.
 * @param query - Description of the request.
 */
export function createExplainPage(
  site: SiteState,
  nowMs: number,
  query: URLSearchParams,
): Page {
  try {
    const body = `${JSON.stringify(explainRequest(site, nowMs, query))}\n`;
    return {status: okStatus, body, contentType};
  } catch (error) {
    // An exception in the page function would end the process.
    const known =
      error instanceof MarigoldpostError
        ? error
        : MarigoldpostError.create('internal', String(error));
    const {status, body} = createErrorResponse(known);
    return {status, body: body.toString(), contentType};
  }
}

function explainRequest(
  site: SiteState,
  nowMs: number,
  query: URLSearchParams,
): RequestExplanation {
  const prompt = parsePrompt(query.get('prompt') ?? '');
  const outputHintTokens = parseTokens('output', query.get('output'));
  const config = site.currentConfig;
  if (config === undefined) {
    const message = 'the entry VM has not received a configuration yet';
    throw MarigoldpostError.create('platform_unavailable', message);
  }
  const route = getRoute(site, query);
  const tenant = findTenant(config.tenants, query.get('tenant'));
  const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
  const services = route.services.map(({service, weight}) => ({
    service,
    share: weight / total,
    ...(site.getDispatcher(service)?.explain({
      prompt,
      tenantPriority: tenant?.priority ?? 0,
      priority: route.priority,
      finishByMs: Number.POSITIVE_INFINITY,
      deadlineMs: nowMs + route.timeoutMs,
      excluded: new Set(),
      previousPrompt: undefined,
      kind: route.name,
      outputHintTokens,
    }) ?? noTargets),
  }));
  checkTargets(services);
  return {
    configVersion: config.version,
    route: route.name,
    tenant: tenant?.name,
    tenantPriority: tenant?.priority,
    services,
  };
}

/** Throws `no_target` if no service of the route has targets. */
function checkTargets(services: readonly ServiceExplanation[]): void {
  if (services.some(({targets}) => targets.length > 0)) return;
  const names = services.map(({service}) => `"${service}"`).join(', ');
  const message = `service ${names} has no targets`;
  throw MarigoldpostError.create('no_target', message);
}

function getRoute(site: SiteState, query: URLSearchParams): Route {
  const host = query.get('host') ?? '';
  const path = query.get('path') ?? '/';
  const route = site.getRoute(host, path);
  if (route !== undefined) return route;
  const message = `no route matches "${host}${path}"`;
  throw MarigoldpostError.create('unknown_path', message);
}

function findTenant(
  tenants: readonly Tenant[] | undefined,
  name: string | null,
): Tenant | undefined {
  if (name === null) return undefined;
  const tenant = tenants?.find((listed) => listed.name === name);
  if (tenant !== undefined) return tenant;
  const message = `the configuration has no tenant "${name}"`;
  throw MarigoldpostError.create('object_missing', message);
}

function parsePrompt(text: string): PromptPart[] {
  if (text === '') return [];
  return text.split(',').map((part) => {
    const separator = part.lastIndexOf(':');
    const id = part.slice(0, separator);
    const tokens = part.slice(separator + 1);
    if (separator > 0 && wholeNumber.test(tokens)) {
      return {id: toId<PromptPartId>(id), tokens: Number(tokens)};
    }
    const message = `prompt: expected ID:TOKENS,..., found "${part}"`;
    throw MarigoldpostError.create('invalid_request', message);
  });
}

function parseTokens(name: string, text: string | null): number | undefined {
  if (text === null) return undefined;
  if (wholeNumber.test(text)) return Number(text);
  const message = `${name}: expected a number of tokens, found "${text}"`;
  throw MarigoldpostError.create('invalid_request', message);
}
