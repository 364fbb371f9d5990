package controller

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"almondpick/gossiper"
	"almondpick/journaler"
	"almondpick/voter"
)

// folderOpenInterval is the interval at which opening the data folder is retried after a failure.
const folderOpenInterval = 500 * time.Millisecond

// isDiskFault reports whether err is that of a disk that may work again later.
func isDiskFault(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EIO)
}

// isUnusedFolder reports whether no voter has run on a data folder. The first start of a voter of a
// new deployment may have ended between the identity and the first snapshot. It is begun anew then:
// without a snapshot the membership is empty, and no leader would ever come.
func isUnusedFolder(folder string) bool {
	return journaler.IsEmptyFolder(folder) || journaler.HoldsOnlyIdentity(folder, bootstrapIdentity)
}

// openDataFolder opens the data folder if it is not open: at the first start, and again after a
// failure, when the voter starts from the contents of the disk as after a restart of the process.
//
// FirstStart has an effect only if no deployment is known: a voter that lost its disk must not vote
// under its old identity. Whether one is known shows only after the other initial voters have been
// heard, so an empty folder is opened then.
func (c *Controller) openDataFolder(now time.Duration) {
	if c.settings.DataFolder == "" || c.journal != nil || now < c.nextFolderOpen {
		return
	}
	if c.dataFolderEmpty && c.awaitsOtherVoters(now) {
		return
	}
	identity := ""
	if c.dataFolderEmpty && c.mayBootstrap() && c.highestLiveVersion() == 0 {
		identity = bootstrapIdentity
	}
	if err := c.openJournal(identity); err != nil {
		c.retryDataFolder(err)
		return
	}
	c.voterErr = nil
	if !c.dataFolderEmpty {
		c.log.Info("voter-restarted", "voter", c.voter.ID(), "commit", c.voter.CommitIndex())
		return
	}
	c.dataFolderEmpty = false
	c.log.Info("data-folder-initialized", "voter", c.voter.ID(), "first-start", identity == bootstrapIdentity)
}

// retryDataFolder schedules the next attempt to open the data folder after one that failed.
func (c *Controller) retryDataFolder(err error) {
	c.voterErr = err
	c.nextFolderOpen = c.now() + folderOpenInterval
	c.log.Error("data-folder-open-failed", "error", err)
}

// stopVoter stops the voter after a failed write: it must not send messages about entries that
// may not be durable. The data folder is opened again later.
func (c *Controller) stopVoter(err error) {
	c.voterErr = err
	c.nextFolderOpen = c.now() + folderOpenInterval
	c.log.Error("voter-stopped", "error", err)
	if err := c.journal.Close(); err != nil {
		c.log.Warn("journal-close-failed", "error", err)
	}
	c.journal = nil
	c.failPendingCalls()
}

// openJournal reads the data folder and starts the voter from its contents. A new data folder
// gets the given identity, or a random one if identity is empty.
func (c *Controller) openJournal(identity string) error {
	began := c.now()
	j, state, err := journaler.Open(c.settings.DataFolder, append(slices.Clone(c.journalOptions), journaler.WithIdentity(identity))...)
	if err != nil {
		return err
	}
	c.log.Info("data-folder-read", "identity", state.Identity, "log-bytes", j.LogSize(), "entries", len(state.Entries),
		"snapshot", state.Snapshot.Index, "term", state.HardState.Term, "commit", state.HardState.Commit, "took", c.now()-began)
	if err := c.restoreState(j, &state, identity); err != nil {
		return errors.Join(err, j.Close())
	}
	c.journal = j
	id := voter.ID(c.settings.Self.Name + "#" + state.Identity)
	c.voter = voter.New(id, c.now(), state.HardState, state.Snapshot, state.Entries,
		voter.WithTiming(c.settings.HeartbeatInterval, c.settings.ElectionTimeout),
		voter.WithRandom(newRandom(c.settings.Self.Name, c.startTime, electionStream)))
	c.gossip.UpdateSelf(func(i gossiper.Instance) gossiper.Instance {
		i.VoterID = string(id)
		return i
	})
	return nil
}

// restoreState restores the state machine from the snapshot of the data folder, or stores there
// what the first voters of a deployment start from.
func (c *Controller) restoreState(j *journaler.Journal, state *journaler.State, identity string) error {
	if state.Snapshot.Index > 0 {
		return c.stateMachine.Restore(state.Snapshot.Data)
	}
	// An attempt to open the folder may have failed after it had written the identity.
	unused := len(state.Entries) == 0 && state.HardState == voter.HardState{}
	if identity == bootstrapIdentity && state.Identity == identity && unused {
		return c.bootstrapLog(j, state)
	}
	return nil
}

// bootstrapLog stores the state that the first voters of a deployment start from: at position
// 1, the membership that the settings name.
func (c *Controller) bootstrapLog(j *journaler.Journal, state *journaler.State) error {
	var m voter.Membership
	for _, name := range c.settings.InitialVoters {
		m = m.WithVoter(voter.ID(name + "#" + bootstrapIdentity))
	}
	c.stateMachine.SkipEntry(1)
	data, err := c.stateMachine.Snapshot()
	if err != nil {
		return err
	}
	state.Snapshot = voter.Snapshot{Index: 1, Term: 1, Membership: m, Data: data}
	state.HardState = voter.HardState{Term: 1, Commit: 1}
	return j.Compact(state.Snapshot, state.HardState, nil)
}

// awaitsOtherVoters reports whether it is too early to open an empty data folder. Without
// VoterCount, it is opened after bootstrapDelay. With it, an instance that may start a deployment
// waits for all other initial voters, and after bootstrapDelay for a majority of them.
func (c *Controller) awaitsOtherVoters(now time.Duration) bool {
	if c.settings.VoterCount == 0 {
		return now < bootstrapDelay
	}
	if !c.mayBootstrap() || c.highestLiveVersion() > 0 {
		return false
	}
	heard := 0
	for _, name := range c.settings.InitialVoters {
		m, ok := c.gossip.Member(name)
		if name == c.settings.Self.Name || (ok && m.LastContact > 0) {
			heard++
		}
	}
	if now < bootstrapDelay {
		return heard < len(c.settings.InitialVoters)
	}
	return heard <= len(c.settings.InitialVoters)/2
}

// mayBootstrap reports whether the settings let this instance start a deployment.
func (c *Controller) mayBootstrap() bool {
	return c.settings.FirstStart && slices.Contains(c.settings.InitialVoters, c.settings.Self.Name)
}
