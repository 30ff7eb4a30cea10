/**
 * Decides a reservation from the votes of the archives.
 *
 * Any two majorities share an archive, so of two entry VMs that reserve
 * concurrently at least one sees the other's reservation. An isolated data
 * centre grants reservations only to programs that started there; other data
 * centres do not grant to those programs while its archives do not reply.
 */
import type {DataCentreId} from '@marigoldpost/common';

/** Vote of one archive; `failed` without a reply, `pending` before one. */
export type ReservationAnswer = 'granted' | 'refused' | 'failed' | 'pending';

/** Vote of one archive on a reservation. */
export interface ReservationVote {
  readonly dataCentre: DataCentreId;
  readonly answer: ReservationAnswer;
  /** Whether its ledger includes what its peers recorded while it was down. */
  readonly isComplete: boolean;
}

/** Data centres of the program's start and of the entry VM that reserves. */
export interface ReservationLocation {
  readonly home: DataCentreId;
  readonly own: DataCentreId;
}

/** Outcome of the votes; `pending` while more votes are needed. */
export type ReservationDecision =
  'granted' | 'refused' | 'unavailable' | 'pending';

/**
 * Gets the size of a majority: any two of that size share an archive.
 * @param archives - Number of registered archives.
 */
export function getMajority(archives: number): number {
  return Math.floor(archives / 2) + 1;
}

/**
 * Decides on a reservation; `pending` while more votes are needed.
 * @param votes - One vote per registered archive.
 * @param location - Data centres of the program and of the entry VM.
 */
export function decideReservation(
  votes: readonly ReservationVote[],
  location: ReservationLocation,
): ReservationDecision {
  const majority = getMajority(votes.length);
  const count = (answer: ReservationAnswer) =>
    votes.filter((vote) => vote.answer === answer).length;
  const granted = votes.filter((vote) => vote.answer === 'granted');
  const completeGrants = granted.filter((vote) => vote.isComplete);
  const isOwnProgram = location.home === location.own;
  const isFromHome = (vote: ReservationVote) =>
    vote.dataCentre === location.home;
  const hasHomeGrant = granted.some(isFromHome);
  // Elsewhere the home data centre must grant too, since it may be isolated and
  // grant by itself. Without an archive of its own it cannot do that.
  const canGrantHere = hasHomeGrant || isOwnProgram || !votes.some(isFromHome);
  if (completeGrants.length >= majority && canGrantHere) {
    return 'granted';
  }
  const refused = count('refused');
  if (refused > 0 && refused + granted.length >= majority) return 'refused';
  if (count('pending') > 0) return 'pending';
  if (refused > 0) return 'refused';
  return isOwnProgram && hasHomeGrant ? 'granted' : 'unavailable';
}
