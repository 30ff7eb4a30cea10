/** Checks that reject calls which exceed a program's budget or loop limits. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {ProgramState} from '../state/program_state.js';
import type {LoopLimits} from './program_manager_types.js';

/**
 * Gets the remaining wall time of a budget, in milliseconds; not positive once
 * it is used up.
 * @param root - Program whose budget is used.
 * @param wallMs - Current wall-clock time, in milliseconds since 1970.
 */
export function getRemainingWallMs(root: ProgramState, wallMs: number): number {
  const startedAtMs = root.account.startedAtWallMs ?? wallMs;
  return startedAtMs + root.budget.maxWallMs - wallMs;
}

/**
 * Throws `budget_exceeded` unless a dispatch fits the budget.
 * @param root - Program whose budget is used.
 * @param addedTokens - Worst-case tokens of the dispatch.
 * @param wallMs - Current wall-clock time, in milliseconds since 1970.
 * @param addedCalls - 1 for the first dispatch of a call, else 0.
 */
export function checkBudget(
  root: ProgramState,
  addedTokens: number,
  wallMs: number,
  addedCalls = 1,
): void {
  const {account, budget, program} = root;
  const tokens = account.usedTokens + account.reservedTokens + addedTokens;
  if (tokens > budget.maxTokens) {
    throw createBudgetError(
      `program "${program}" could use ${tokens} tokens, more than its budget of ${budget.maxTokens}`,
    );
  }
  if (account.usedCalls + addedCalls > budget.maxCalls) {
    throw createBudgetError(
      `program "${program}" has used all ${budget.maxCalls} calls of its budget`,
    );
  }
  if (getRemainingWallMs(root, wallMs) <= 0) {
    throw createBudgetError(
      `program "${program}" has used its wall time of ${budget.maxWallMs} ms`,
    );
  }
}

/**
 * Throws `budget_exceeded` when a program exceeds the loop limits.
 * @param state - Program of the new call.
 * @param digest - Digest of the new call's content.
 * @param limits - Limits on turns and on consecutive identical calls.
 */
export function checkLoops(
  state: ProgramState,
  digest: string,
  limits: LoopLimits,
): void {
  const {lastDigest, program, repeats, turnIndex} = state;
  if (turnIndex >= limits.maxTurns) {
    throw createBudgetError(
      `program "${program}" has run ${turnIndex} turns; the limit is ${limits.maxTurns}`,
    );
  }
  if (digest === lastDigest && repeats >= limits.maxRepeats) {
    throw createBudgetError(
      `program "${program}" has made the same call ${repeats} times in a row; the limit is ${limits.maxRepeats}`,
    );
  }
}

function createBudgetError(message: string): MarigoldpostError {
  return MarigoldpostError.create('budget_exceeded', message);
}
