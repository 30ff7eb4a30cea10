/** One program, explained. */
import type {ProgramBody} from '../client/bodies.js';
import {renderTable} from './text_table.js';

function renderTerms(terms: Readonly<Record<string, number>> | null): string {
  const shown = Object.entries(terms ?? {}).map(
    ([name, value]) => `${name}=${Number(value.toFixed(1))}`,
  );
  return shown.length === 0 ? '-' : shown.join(' ');
}

/**
 * Renders a program with its calls, their waits, targets and why these targets.
 * @param program - The program.
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
