/**
 * Upper bounds on the tokens that a call may use, and the caps they require.
 */
import type {Call, CallAnswer} from '../calls/call.js';
import type {BudgetCap} from '../records/program_record.js';
import type {BudgetAccount, ProgramState} from '../state/program_state.js';

/** Upper bound on the tokens that a chat template adds to one message. */
const templateTokensPerMessage = 16;

/**
 * Gets the maximum number of tokens that one dispatch of a call can use. New
 * messages count one token per byte, since a token is at least one byte long;
 * the history has the token count that an engine reported.
 * @param state - Program of the call.
 * @param call - Call to dispatch; a plain call uses no tokens.
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
 * Gets the tokens that a call has used; 0 for a plain call.
 * @param answer - Complete answer of the call.
 */
export function getUsedTokens(answer: CallAnswer): number {
  if (answer.kind === 'plain') return 0;
  return answer.usage.promptTokens + answer.usage.completionTokens;
}

/**
 * Gets the cap to commit with a finished call. It covers the program's expected
 * next call, so that its dispatch usually does not have to wait for a write.
 * @param root - Program whose budget is used.
 * @param call - Finished call.
 * @param worstCaseTokens - Tokens that were reserved for the finished call.
 * @param answer - Answer of the finished call.
 */
export function getNextCap(
  root: ProgramState,
  call: Call,
  worstCaseTokens: number,
  answer: CallAnswer,
): BudgetCap {
  const {account, budget} = root;
  const used = getUsedTokens(answer);
  const otherReservations = account.reservedTokens - worstCaseTokens;
  const nextCallTokens =
    call.kind === 'chat' ? used + worstCaseTokens : worstCaseTokens;
  const tokens = account.usedTokens + used + otherReservations + nextCallTokens;
  return {
    tokens: Math.min(budget.maxTokens, tokens),
    calls: Math.min(budget.maxCalls, account.usedCalls + 1),
  };
}

/**
 * Gets the cap that one more dispatch requires, or undefined when the committed
 * cap covers it.
 * @param account - Budget account of the root program.
 * @param addedTokens - Worst-case tokens of the dispatch.
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
