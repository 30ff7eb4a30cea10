/** Flow control: bounds the unread replies of one exchange. */

/** Initial credit: replies that the server may send ahead of the reader. */
export const replyWindow = 64;

/** Replies that the requester reads before it grants as much new credit. */
export const replyCreditBatch = replyWindow / 2;
