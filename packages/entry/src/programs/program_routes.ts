/** `/v1/programs`. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {BudgetConfig, TeamConfig} from '@marigoldpost/settings';
import * as z from 'zod';
import {programHeader, toProgramIdOrThrow} from '../auth/call_headers.js';
import type {Exchange} from '../http/exchange.js';
import {parseValue} from '../http/validation.js';
import type {EntryContext} from '../server/entry_context.js';
import type {Route} from '../server/route.js';
import {toHistoryJson, toProgramJson} from './program_json.js';

const amount = z.int().min(1);
const programBody = z.strictObject({
  parent: z.string().optional(),
  budget: z
    .strictObject({
      max_tokens: amount.optional(),
      max_calls: amount.optional(),
      max_wall_ms: amount.optional(),
    })
    .default({}),
});

/**
 * Creates the routes of programs.
 * @param context - What routes share.
 */
export function createProgramRoutes(context: EntryContext): Route[] {
  const {gateway} = context.parts;
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
        const id = toProgramIdOrThrow(program);
        const view = await gateway.getProgram(team.id, id);
        exchange.writeJson(200, toProgramJson(view));
      },
    },
    {
      method: 'DELETE',
      path,
      handle: async (exchange, {program = ''}) => {
        const {team} = context.getTeamOrThrow(exchange);
        const id = toProgramIdOrThrow(program);
        const view = await gateway.endProgram(team.id, id);
        exchange.writeJson(200, toProgramJson(view));
      },
    },
    {
      method: 'GET',
      path: `${path}/history`,
      handle: async (exchange, {program = ''}) => {
        const {team} = context.getTeamOrThrow(exchange);
        const id = toProgramIdOrThrow(program);
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
  const view = await context.parts.gateway.addProgram({
    team: team.id,
    parent:
      body.parent === undefined ? undefined : toProgramIdOrThrow(body.parent),
    budget: {
      maxTokens: getBudget(
        'max_tokens',
        body.budget.max_tokens,
        team,
        'maxTokens',
      ),
      maxCalls: getBudget('max_calls', body.budget.max_calls, team, 'maxCalls'),
      maxWallMs: getBudget(
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

function getBudget(
  name: string,
  asked: number | undefined,
  team: TeamConfig,
  key: keyof BudgetConfig,
): number {
  const most = team.budget[key];
  if (asked === undefined || asked <= most) return asked ?? most;
  throw MarigoldpostError.create(
    'invalid_request',
    `budget.${name}: team "${team.id}" may ask for at most ${most}`,
  );
}
