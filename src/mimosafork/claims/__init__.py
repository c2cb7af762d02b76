"""Adapters behind the claim effects: rows, kept answers, and finding streams.

`writer.ClaimWriter` batches what becomes of claims into transactions,
`keeper.AnswerKeeper` keeps and replays whole answers, and `finder.StreamFinder`
asks engines for a stream. Each is a task; none decides.
"""
