/** Upper bounds of the tokens that a call may use. */
import type {Call, CallAnswer} from '../calls/call.js';
import type {BudgetCap} from '../records/program_record.js';
import type {BudgetAccount, ProgramState} from '../state/program_state.js';

/** Tokens that an engine's chat template may add to one message. */
const templateTokensPerMessage = 16;

/**
 * Gets the most tokens that one dispatch of a call can use: a token is at least
 * one byte long, and the history's tokens were counted by an engine.
 * @param state - The program.
 * @param call - The call.
 */
export function getWorstCaseTokens(state: ProgramState, call: Call): number {
  if (call.kind === 'plain') return 0;
  let tokens = state.historyTokens + call.maxTokens;
  for (const {content} of call.messages) {
    tokens += Buffer.byteLength(content) + templateTokensPerMessage;
  }
  return tokens;
}

/**
 * Gets the tokens that an answer has used.
 * @param answer - A complete answer.
 */
export function getUsedTokens(answer: CallAnswer): number {
  if (answer.kind === 'plain') return 0;
  return answer.usage.promptTokens + answer.usage.completionTokens;
}

/**
 * Gets the cap to commit with a finished call, so that the program's next call
 * usually needs no write of its own.
 * @param root - Program whose budget is used.
 * @param call - The finished call.
 * @param worstCaseTokens - What was reserved for it.
 * @param answer - Its answer.
 */
export function getNextCap(
  root: ProgramState,
  call: Call,
  worstCaseTokens: number,
  answer: CallAnswer,
): BudgetCap {
  const {account, budget} = root;
  const used = getUsedTokens(answer);
  const others = account.reservedTokens - worstCaseTokens;
  const next = call.kind === 'chat' ? used + worstCaseTokens : worstCaseTokens;
  const tokens = account.usedTokens + used + others + next;
  return {
    tokens: Math.min(budget.maxTokens, tokens),
    calls: Math.min(budget.maxCalls, account.usedCalls + 1),
  };
}

/**
 * Gets the cap that one more dispatch needs, when the committed one is lower.
 * @param account - Account of the budget.
 * @param addedTokens - Worst case of the dispatch.
 * @param addedCalls - 1 for the first dispatch of a call, else 0.
 */
export function getRaisedCap(
  account: BudgetAccount,
  addedTokens: number,
  addedCalls: number,
): BudgetCap | undefined {
  const tokens = account.usedTokens + account.reservedTokens + addedTokens;
  const calls = account.usedCalls + addedCalls;
  const isCovered = tokens <= account.capTokens && calls <= account.capCalls;
  if (isCovered) return undefined;
  return {
    tokens: Math.max(tokens, account.capTokens),
    calls: Math.max(calls, account.capCalls),
  };
}
