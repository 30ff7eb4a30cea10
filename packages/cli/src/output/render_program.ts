/** Renders one program with the reasons for its placement. */
import type {ProgramBody} from '../client/response_schemas.js';
import {renderTable} from './text_table.js';

function renderTerms(terms: Readonly<Record<string, number>> | null): string {
  const shown = Object.entries(terms ?? {}).map(
    ([name, value]) => `${name}=${Number(value.toFixed(1))}`,
  );
  return shown.length === 0 ? '-' : shown.join(' ');
}

/**
 * Renders a program with its budget and its calls. Each call shows its wait,
 * its target and the placement terms that chose the target.
 * @param program - Response of the operations API.
 */
export function renderProgram(program: ProgramBody): string {
  const {budget} = program;
  const parent = program.parent === null ? '' : `, child of ${program.parent}`;
  const calls = renderTable(program.calls, [
    {title: 'CALL', get: ({call}) => call},
    {title: 'SERVICE', get: ({service}) => service},
    {title: 'STATE', get: ({state}) => state},
    {title: 'TARGET', get: ({target}) => target},
    {title: 'WAIT MS', get: ({wait_ms: waitMs}) => waitMs},
    {title: 'PROMPT', get: (call) => call.prompt_tokens},
    {title: 'CACHED', get: (call) => call.cached_tokens},
    {title: 'ANSWER', get: (call) => call.completion_tokens},
    {
      title: 'WHY THIS TARGET',
      get: (call) => renderTerms(call.placement_terms),
    },
  ]);
  return [
    `program ${program.program} of team ${program.team}: ${program.state}${parent}`,
    `tokens ${program.used_tokens} used, ${program.reserved_tokens} reserved, ` +
      `${budget.max_tokens} at most`,
    `calls ${program.used_calls} used, ${budget.max_calls} at most; ` +
      `${budget.max_wall_ms} ms at most`,
    '',
    calls,
  ].join('\n');
}
