/** Refuses calls that a program's budget or the loop limits do not allow. */
import {MarigoldpostError} from '@marigoldpost/common';
import type {ProgramState} from '../state/program_state.js';
import type {LoopLimits} from './keeper_types.js';

/**
 * Gets the wall time that a budget leaves, in milliseconds.
 * @param root - Program whose budget is used.
 * @param wallMs - Wall time now.
 */
export function getRemainingWallMs(root: ProgramState, wallMs: number): number {
  const startedAtMs = root.account.startedAtWallMs ?? wallMs;
  return startedAtMs + root.budget.maxWallMs - wallMs;
}

/**
 * Throws `budget_exceeded` unless a dispatch fits the budget.
 * @param root - Program whose budget is used.
 * @param addedTokens - Worst case of the dispatch.
 * @param wallMs - Wall time now.
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
    throw createExceeded(
      `program "${program}" could use ${tokens} tokens; its budget is ${budget.maxTokens}`,
    );
  }
  if (account.usedCalls + addedCalls > budget.maxCalls) {
    throw createExceeded(
      `program "${program}" has made all of its ${budget.maxCalls} calls`,
    );
  }
  if (getRemainingWallMs(root, wallMs) <= 0) {
    throw createExceeded(
      `program "${program}" has run for its ${budget.maxWallMs} ms`,
    );
  }
}

/**
 * Throws `budget_exceeded` when a program seems to loop.
 * @param state - The program.
 * @param digest - What the new call asks for.
 * @param limits - Bounds of turns and repetitions.
 */
export function checkLoops(
  state: ProgramState,
  digest: string,
  limits: LoopLimits,
): void {
  const {lastDigest, program, repeats, turnIndex} = state;
  if (turnIndex >= limits.maxTurns) {
    throw createExceeded(`program "${program}" has had ${turnIndex} turns`);
  }
  if (digest === lastDigest && repeats >= limits.maxRepeats) {
    throw createExceeded(
      `program "${program}" has made the same call ${repeats} times in a row`,
    );
  }
}

function createExceeded(message: string): MarigoldpostError {
  return MarigoldpostError.create('budget_exceeded', message);
}
