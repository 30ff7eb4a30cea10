/** Bounds the replies of one exchange that the requester has not read. */

/** Replies that the serving side may send ahead of the reader. */
export const replyWindow = 64;

/** Replies that the reader takes before it grants that many more. */
export const replyCreditBatch = replyWindow / 2;
