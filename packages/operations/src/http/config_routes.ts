/** Routes under `/ops/v1/config` and `/ops/v1/teams`. */
import {isErrorOfKind, MarigoldpostError} from '@marigoldpost/common';
import {type Exchange, parseValue, type Route} from '@marigoldpost/entry';
import {
  parseOperatorsText,
  readOperatorsText,
  setTeamApproval,
} from '@marigoldpost/settings';
import * as z from 'zod';
import type {ConfigRecord} from '../config/config_record.js';
import {getLineDifferences} from '../utils/line_difference.js';
import {toJsonBody} from './json_body.js';
import {getOperatorOrThrow} from './operator_access.js';
import {
  type OperationsParts,
  type OperatorRequest,
  createOperatorRoute,
} from './operations_context.js';

const maxApprovalAttempts = 5;
const defaultHistoryLimit = 50;
const maxHistoryLimit = 1000;

const changeBody = z.strictObject({
  text: z.string(),
  base_version: z.int().min(0),
  why: z.string().min(1).max(1000),
});
const textBody = z.strictObject({text: z.string()});
const whyBody = z.strictObject({why: z.string().min(1).max(1000)});
const limitQuery = z.coerce
  .number()
  .int()
  .min(1)
  .max(maxHistoryLimit)
  .default(defaultHistoryLimit);

/**
 * Creates the routes that read and change the operators' configuration.
 * @param parts - Parts of the daemon that the routes use.
 */
export function createConfigRoutes(parts: OperationsParts): Route[] {
  const path = '/ops/v1/config';
  return [
    {method: 'POST', path, handle: (exchange) => applyConfig(parts, exchange)},
    createOperatorRoute(parts, {
      method: 'GET',
      path,
      handle: async () => toJsonBody(await getCurrentOrThrow(parts)),
    }),
    createOperatorRoute(parts, {
      method: 'POST',
      path: `${path}/check`,
      handle: async ({exchange}) => {
        const {text} = parseValue(textBody, await exchange.readJson());
        return {problems: readOperatorsText(text).problems};
      },
    }),
    createOperatorRoute(parts, {
      method: 'POST',
      path: `${path}/diff`,
      handle: async ({exchange}) => {
        const {text} = parseValue(textBody, await exchange.readJson());
        const current = await getCurrentOrThrow(parts);
        const differences = getLineDifferences(current.text, text);
        return toJsonBody({baseVersion: current.version, differences});
      },
    }),
    createOperatorRoute(parts, {
      method: 'GET',
      path: `${path}/history`,
      handle: async ({exchange}) => {
        const limit = getHistoryLimit(exchange);
        const changes = await parts.configs.getAuditTrail({limit});
        return {changes: toJsonBody(changes)};
      },
    }),
    createOperatorRoute(parts, {
      method: 'POST',
      path: '/ops/v1/teams/{team}/approve',
      handle: (request) => changeApproval(parts, request, true),
    }),
    createOperatorRoute(parts, {
      method: 'POST',
      path: '/ops/v1/teams/{team}/revoke',
      handle: (request) => changeApproval(parts, request, false),
    }),
  ];
}

/**
 * Gets the `limit` query parameter; throws `invalid_request` if out of range.
 * @param exchange - Request whose URL may have the parameter.
 */
export function getHistoryLimit(exchange: Exchange): number {
  const limit = exchange.url.searchParams.get('limit') ?? undefined;
  return parseValue(limitQuery, limit);
}

async function applyConfig(
  parts: OperationsParts,
  exchange: Exchange,
): Promise<void> {
  const config = parts.source.getConfig();
  const knownOperator =
    config === undefined ? undefined : getOperatorOrThrow(exchange, config);
  const body = parseValue(changeBody, await exchange.readJson());
  // The first configuration itself lists the operators who may apply it.
  const operator =
    knownOperator ?? (await getFirstOperator(parts, exchange, body.text));
  const accepted = await parts.configs.applyChange({
    text: body.text,
    baseVersion: body.base_version,
    author: operator.name,
    why: body.why,
  });
  logAccepted(parts, accepted);
  exchange.writeJson(200, toJsonBody(accepted));
}

async function getFirstOperator(
  parts: OperationsParts,
  exchange: Exchange,
  text: string,
) {
  const current = await parts.configs.getConfig();
  if (current !== undefined) return getOperatorOrThrow(exchange, undefined);
  return getOperatorOrThrow(exchange, parseOperatorsText(text));
}

async function changeApproval(
  parts: OperationsParts,
  {exchange, operator, parameters}: OperatorRequest,
  isApproved: boolean,
): Promise<unknown> {
  const {why} = parseValue(whyBody, await exchange.readJson());
  const team = parameters['team'] ?? '';
  for (let attempts = 1; ; attempts++) {
    const current = await getCurrentOrThrow(parts);
    const text = setTeamApproval(current.text, team, isApproved);
    if (text === current.text) return toJsonBody(current);
    const author = operator.name;
    const change = {text, baseVersion: current.version, author, why};
    try {
      const accepted = await parts.configs.applyChange(change);
      logAccepted(parts, accepted);
      return toJsonBody(accepted);
    } catch (error) {
      const isConflict = isErrorOfKind(error, 'config_conflict');
      if (!isConflict || attempts === maxApprovalAttempts) throw error;
    }
  }
}

async function getCurrentOrThrow(
  parts: OperationsParts,
): Promise<ConfigRecord> {
  const current = await parts.configs.getConfig();
  if (current !== undefined) return current;
  throw MarigoldpostError.create(
    'object_missing',
    "no operators' configuration has been accepted yet",
  );
}

function logAccepted(parts: OperationsParts, accepted: ConfigRecord): void {
  const {version, author: operator} = accepted;
  parts.logger.log('config_accepted', {version, operator});
}
