/** Routes below `/v1/programs`. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {BudgetConfig, TeamConfig} from '@marigoldpost/settings';
import * as z from 'zod';
import {programHeader, parseProgramIdOrThrow} from '../auth/call_headers.js';
import type {Exchange} from '../http/exchange.js';
import {parseValue} from '../http/validation.js';
import type {EntryContext} from '../server/entry_context.js';
import type {Route} from '../server/route.js';
import {toHistoryJson, toProgramJson} from './program_json.js';

const positiveInteger = z.int().min(1);
const programBody = z.strictObject({
  parent: z.string().optional(),
  budget: z
    .strictObject({
      max_tokens: positiveInteger.optional(),
      max_calls: positiveInteger.optional(),
      max_wall_ms: positiveInteger.optional(),
    })
    .default({}),
});

/**
 * Creates the routes that open, show and end programs.
 * @param context - Context that all routes share.
 */
export function createProgramRoutes(context: EntryContext): Route[] {
  const {gateway} = context.dependencies;
  const path = '/v1/programs/{program}';
  return [
    {
      method: 'POST',
      path: '/v1/programs',
      handle: (exchange) => addProgram(context, exchange),
    },
    {
      method: 'GET',
      path,
      handle: async (exchange, {program = ''}) => {
        const {team} = context.getTeamOrThrow(exchange);
        const id = parseProgramIdOrThrow(program);
        const view = await gateway.getProgram(team.id, id);
        exchange.writeJson(200, toProgramJson(view));
      },
    },
    {
      method: 'DELETE',
      path,
      handle: async (exchange, {program = ''}) => {
        const {team} = context.getTeamOrThrow(exchange);
        const id = parseProgramIdOrThrow(program);
        const view = await gateway.endProgram(team.id, id);
        exchange.writeJson(200, toProgramJson(view));
      },
    },
    {
      method: 'GET',
      path: `${path}/history`,
      handle: async (exchange, {program = ''}) => {
        const {team} = context.getTeamOrThrow(exchange);
        const id = parseProgramIdOrThrow(program);
        const history = await gateway.getHistory(team.id, id);
        exchange.writeJson(200, toHistoryJson(history));
      },
    },
  ];
}

async function addProgram(
  context: EntryContext,
  exchange: Exchange,
): Promise<void> {
  const {team} = context.getTeamOrThrow(exchange);
  const body = parseValue(programBody, await exchange.readJson());
  const view = await context.dependencies.gateway.addProgram({
    team: team.id,
    parent:
      body.parent === undefined
        ? undefined
        : parseProgramIdOrThrow(body.parent),
    budget: {
      maxTokens: getBudgetOrThrow(
        'max_tokens',
        body.budget.max_tokens,
        team,
        'maxTokens',
      ),
      maxCalls: getBudgetOrThrow(
        'max_calls',
        body.budget.max_calls,
        team,
        'maxCalls',
      ),
      maxWallMs: getBudgetOrThrow(
        'max_wall_ms',
        body.budget.max_wall_ms,
        team,
        'maxWallMs',
      ),
    },
  });
  exchange.response.setHeader(programHeader, view.program);
  exchange.writeJson(201, toProgramJson(view));
}

function getBudgetOrThrow(
  name: string,
  requested: number | undefined,
  team: TeamConfig,
  key: keyof BudgetConfig,
): number {
  const limit = team.budget[key];
  if (requested === undefined || requested <= limit) return requested ?? limit;
  throw MarigoldpostError.create(
    'invalid_request',
    `budget.${name} is ${requested}; team "${team.id}" may request at most ${limit}`,
  );
}
