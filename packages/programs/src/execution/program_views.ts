/** Conversion of program state to views for callers and operators. */
import type {PartitionId} from '@marigoldpost/common';
import type {Call} from '../calls/call.js';
import type {CallView, ProgramView} from '../calls/program_view.js';
import type {CallState, ProgramState} from '../state/program_state.js';

/** Data that a program's view is created from. */
export interface ProgramViewParts {
  readonly partition: PartitionId;
  readonly state: ProgramState;
  /** Program whose budget is used. */
  readonly root: ProgramState;
  /** Admitted calls that have not been dispatched. */
  readonly waiting: readonly Call[];
}

/**
 * Gets the view of a program. Its usage is that of the root program with all
 * sub-agents.
 * @param parts - State of the program and its queued calls.
 */
export function toProgramView(parts: ProgramViewParts): ProgramView {
  const {partition, root, state, waiting} = parts;
  const {account, budget} = root;
  return {
    program: state.program,
    partition,
    team: state.team,
    parent: state.parent,
    state: state.endedAtWallMs === undefined ? 'open' : 'ended',
    budget,
    usedTokens: account.usedTokens,
    reservedTokens: account.reservedTokens,
    usedCalls: account.usedCalls,
    calls: [...state.calls.map(toCallView), ...waiting.map(toWaitingView)],
  };
}

function toCallView(call: CallState): CallView {
  const {callId, report, service, state, target, usage} = call;
  return {
    callId,
    service,
    state,
    target,
    waitMs: report?.waitMs,
    promptTokens: usage?.promptTokens ?? 0,
    cachedTokens: usage?.cachedTokens ?? 0,
    completionTokens: usage?.completionTokens ?? 0,
    placementTerms: report?.terms,
  };
}

function toWaitingView({callId, service}: Call): CallView {
  return {
    callId,
    service,
    state: 'waiting',
    promptTokens: 0,
    cachedTokens: 0,
    completionTokens: 0,
  };
}
