/**
 * Decides a reservation from the votes of the archives.
 *
 * Reservations of one program are recorded at sets of archives that meet: a
 * majority that includes an archive of the program's home, or, while the home
 * data centre is isolated, all archives there. While no archive of the home
 * counts, any majority records them. An isolated home and such a majority need
 * not meet, so what they record is also written to the object API. So of two
 * entry VMs that reserve concurrently at least one sees the other's reservation.
 *
 * That alone does not bound the sum of many reservations, since each archive
 * counts a part of them only. One archive, the counter, is therefore part of
 * every set, and its count is exact. A reservation without it, or of a program
 * that has had one, is contended: it is granted only by the merged ledgers of
 * the archives that have recorded it.
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
  /** Whether it knows of no contended reservation of the program. */
  readonly isExact: boolean;
  /** Whether it is the archive whose count of the program is relied on. */
  readonly isCounter: boolean;
}

/** Data centres of the program's start and of the entry VM that reserves. */
export interface ReservationLocation {
  /** `undefined` if it is not recorded where the program started. */
  readonly home: DataCentreId | undefined;
  readonly own: DataCentreId;
}

/**
 * Outcome of the votes; `pending` while more votes are needed, `contended` if a
 * quorum has recorded the reservation but its ledgers must be merged to decide.
 */
export type ReservationDecision =
  'granted' | 'contended' | 'refused' | 'unavailable' | 'pending';

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
  if (isRecordedAtQuorum(votes, location)) return decideByCounter(votes);
  const count = (answer: ReservationAnswer) =>
    votes.filter((vote) => vote.answer === answer).length;
  const refused = count('refused');
  const isMajority = refused + count('granted') >= getMajority(votes.length);
  if (refused > 0 && isMajority) return 'refused';
  if (count('pending') > 0) return 'pending';
  return refused > 0 ? 'refused' : 'unavailable';
}

/**
 * Whether a majority that includes an archive of the program's home has recorded
 * the reservation. Other quorums need not meet while archives restart or lose
 * their disks: one without the home, and one of the home alone.
 * @param votes - One vote per registered archive.
 * @param location - Data centres of the program and of the entry VM.
 */
export function isHomeMajority(
  votes: readonly ReservationVote[],
  {home}: ReservationLocation,
): boolean {
  const homeVotes = votes.filter(({dataCentre}) => dataCentre === home);
  return (
    votes.filter(isCompleteGrant).length >= getMajority(votes.length) &&
    (homeVotes.length === 0 || homeVotes.some(isCompleteGrant))
  );
}

/**
 * Whether the reservation is recorded at archives that every other quorum of
 * the program meets.
 * @param votes - One vote per registered archive.
 * @param location - Data centres of the program and of the entry VM.
 */
export function isRecordedAtQuorum(
  votes: readonly ReservationVote[],
  {home, own}: ReservationLocation,
): boolean {
  const homeVotes = votes.filter(({dataCentre}) => dataCentre === home);
  const grants = votes.filter(isCompleteGrant);
  if (grants.length >= getMajority(votes.length)) {
    if (homeVotes.length === 0 || homeVotes.some(isCompleteGrant)) return true;
    return homeVotes.every(isWithoutCount);
  }
  const isIsolated = votes.every(
    ({answer}) => answer === 'granted' || answer === 'failed',
  );
  return (
    home === own &&
    isIsolated &&
    homeVotes.length > 0 &&
    homeVotes.every(isCompleteGrant)
  );
}

/** Whether an archive takes part in no quorum now. */
function isWithoutCount({answer, isComplete}: ReservationVote): boolean {
  return answer === 'failed' || (answer === 'granted' && !isComplete);
}

function isCompleteGrant({answer, isComplete}: ReservationVote): boolean {
  return answer === 'granted' && isComplete;
}

/** Decides on a reservation that is recorded at a quorum. */
function decideByCounter(
  votes: readonly ReservationVote[],
): ReservationDecision {
  const isExact = votes.filter(isCompleteGrant).every((vote) => vote.isExact);
  const counter = votes.find(({isCounter}) => isCounter);
  if (!isExact || counter === undefined) return 'contended';
  if (counter.answer === 'pending') return 'pending';
  return isCompleteGrant(counter) ? 'granted' : 'contended';
}
