/** `/ops/v1/config` and `/ops/v1/teams`. */
import {isErrorOfKind, MarigoldpostError} from '@marigoldpost/common';
import {type Exchange, parseValue, type Route} from '@marigoldpost/entry';
import {
  parseOperatorsText,
  readOperatorsText,
  setTeamApproval,
} from '@marigoldpost/settings';
import * as z from 'zod';
import type {OperatorsText} from '../config/operators_text.js';
import {getLineDifferences} from '../utils/line_difference.js';
import {toJsonBody} from './json_body.js';
import {getOperatorOrThrow} from './operator_access.js';
import {
  type OperationsParts,
  type OperatorRequest,
  toRoute,
} from './operations_context.js';

const maxApprovalTries = 5;
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
 * Creates the routes of the operators' text.
 * @param parts - Parts of the daemon.
 */
export function createConfigRoutes(parts: OperationsParts): Route[] {
  const path = '/ops/v1/config';
  return [
    {method: 'POST', path, handle: (exchange) => applyText(parts, exchange)},
    toRoute(parts, {
      method: 'GET',
      path,
      handle: async () => toJsonBody(await getTextOrThrow(parts)),
    }),
    toRoute(parts, {
      method: 'POST',
      path: `${path}/check`,
      handle: async ({exchange}) => {
        const {text} = parseValue(textBody, await exchange.readJson());
        return {problems: readOperatorsText(text).problems};
      },
    }),
    toRoute(parts, {
      method: 'POST',
      path: `${path}/diff`,
      handle: async ({exchange}) => {
        const {text} = parseValue(textBody, await exchange.readJson());
        const current = await getTextOrThrow(parts);
        const differences = getLineDifferences(current.text, text);
        return toJsonBody({baseVersion: current.version, differences});
      },
    }),
    toRoute(parts, {
      method: 'GET',
      path: `${path}/history`,
      handle: async ({exchange}) => {
        const limit = getHistoryLimit(exchange);
        const changes = await parts.configs.getAuditTrail({limit});
        return {changes: toJsonBody(changes)};
      },
    }),
    toRoute(parts, {
      method: 'POST',
      path: '/ops/v1/teams/{team}/approve',
      handle: (request) => changeApproval(parts, request, true),
    }),
    toRoute(parts, {
      method: 'POST',
      path: '/ops/v1/teams/{team}/revoke',
      handle: (request) => changeApproval(parts, request, false),
    }),
  ];
}

/**
 * Gets how many records a request asks for.
 * @param exchange - The request.
 */
export function getHistoryLimit(exchange: Exchange): number {
  const limit = exchange.url.searchParams.get('limit') ?? undefined;
  return parseValue(limitQuery, limit);
}

async function applyText(
  parts: OperationsParts,
  exchange: Exchange,
): Promise<void> {
  const config = parts.source.getConfig();
  const known =
    config === undefined ? undefined : getOperatorOrThrow(exchange, config);
  const body = parseValue(changeBody, await exchange.readJson());
  // The first text names the operators who may bring it.
  const operator =
    known ?? (await getFirstOperator(parts, exchange, body.text));
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
  for (let tries = 1; ; tries++) {
    const current = await getTextOrThrow(parts);
    const text = setTeamApproval(current.text, team, isApproved);
    if (text === current.text) return toJsonBody(current);
    const author = operator.name;
    const change = {text, baseVersion: current.version, author, why};
    try {
      const accepted = await parts.configs.applyChange(change);
      logAccepted(parts, accepted);
      return toJsonBody(accepted);
    } catch (error) {
      const isLost = isErrorOfKind(error, 'config_conflict');
      if (!isLost || tries === maxApprovalTries) throw error;
    }
  }
}

async function getTextOrThrow(parts: OperationsParts): Promise<OperatorsText> {
  const current = await parts.configs.getConfig();
  if (current !== undefined) return current;
  throw MarigoldpostError.create(
    'object_missing',
    "there is no operators' text yet",
  );
}

function logAccepted(parts: OperationsParts, accepted: OperatorsText): void {
  const {version, author: operator} = accepted;
  parts.logger.log('config_accepted', {version, operator});
}
