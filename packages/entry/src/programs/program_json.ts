/** Converts programs to JSON for callers and operators. */
import type {
  CallView,
  ProgramHistory,
  ProgramView,
} from '@marigoldpost/programs';
import type {BudgetConfig} from '@marigoldpost/settings';

function toBudgetJson({maxTokens, maxCalls, maxWallMs}: BudgetConfig) {
  return {
    max_tokens: maxTokens,
    max_calls: maxCalls,
    max_wall_ms: maxWallMs,
  };
}

function toCallJson(call: CallView) {
  return {
    call: call.callId,
    service: call.service,
    state: call.state,
    target: call.target ?? null,
    wait_ms: call.waitMs ?? null,
    prompt_tokens: call.promptTokens,
    cached_tokens: call.cachedTokens,
    completion_tokens: call.completionTokens,
    placement_terms: call.placementTerms ?? null,
  };
}

/**
 * Converts a program; absent values become null.
 * @param view - State of the program and its calls.
 */
export function toProgramJson(view: ProgramView) {
  return {
    program: view.program,
    partition: view.partition,
    team: view.team,
    parent: view.parent ?? null,
    state: view.state,
    budget: toBudgetJson(view.budget),
    used_tokens: view.usedTokens,
    reserved_tokens: view.reservedTokens,
    used_calls: view.usedCalls,
    calls: view.calls.map(toCallJson),
  };
}

/**
 * Converts a program's history.
 * @param history - Messages of the program.
 */
export function toHistoryJson({program, messages}: ProgramHistory) {
  return {program, messages};
}
