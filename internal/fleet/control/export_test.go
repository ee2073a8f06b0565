package control

// WaitForTasks waits until all orders and probes in progress are done.
func (c *Controller) WaitForTasks() {
	for _, d := range c.domains {
		// Tasks log their own errors and always return nil.
		_ = d.tasks.Wait()
	}
}
